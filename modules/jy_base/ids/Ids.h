#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace jy {

/** A string identifier that cannot be confused with an identifier of another kind. */
template <class Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : value_(std::move(value))
    { }

    const std::string &value() const { return value_; }
    bool empty() const { return value_.empty(); }

    auto operator<=>(const Id &) const = default;

    friend std::ostream &operator<<(std::ostream &out, const Id &id) { return out << id.value_; }

private:
    std::string value_;
};

using InstanceId = Id<struct InstanceTag>;
using ServerId = Id<struct ServerTag>;
using DomainId = Id<struct DomainTag>;
using RegionId = Id<struct RegionTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using ModelId = Id<struct ModelTag>;
using VersionId = Id<struct VersionTag>;
using ServiceId = Id<struct ServiceTag>;
using ChatId = Id<struct ChatTag>;
using MoveId = Id<struct MoveTag>;
using RequestId = Id<struct RequestTag>;

} // namespace jy

template <class Tag>
struct std::hash<jy::Id<Tag>>
{
    std::size_t operator()(const jy::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};
