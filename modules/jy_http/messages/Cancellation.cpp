#include "jy_http/messages/Cancellation.h"

#include <utility>

namespace jy {

Cancellation::Registration::Registration(std::weak_ptr<Cancellation> owner, std::uint64_t id)
    : owner_(std::move(owner))
    , id_(id)
{ }

Cancellation::Registration::Registration(Registration &&other) noexcept
    : owner_(std::move(other.owner_))
    , id_(std::exchange(other.id_, 0))
{ }

Cancellation::Registration &Cancellation::Registration::operator=(Registration &&other) noexcept
{
    if (this != &other) {
        reset();
        owner_ = std::move(other.owner_);
        id_ = std::exchange(other.id_, 0);
    }
    return *this;
}

Cancellation::Registration::~Registration()
{
    reset();
}

void Cancellation::Registration::reset() noexcept
{
    if (const auto owner = owner_.lock())
        owner->callbacks_.erase(id_);
    owner_.reset();
}

std::shared_ptr<Cancellation> Cancellation::create()
{
    return std::shared_ptr<Cancellation>(new Cancellation);
}

void Cancellation::cancel()
{
    if (std::exchange(cancelled_, true))
        return;
    const auto keepAlive = shared_from_this();
    // A callback may remove others, so each one is taken out before it runs.
    while (!callbacks_.empty()) {
        const auto node = callbacks_.extract(callbacks_.begin());
        node.mapped()();
    }
}

Cancellation::Registration Cancellation::onCancel(std::function<void()> callback)
{
    if (cancelled_) {
        callback();
        return {};
    }
    const auto id = nextId_++;
    callbacks_.emplace(id, std::move(callback));
    return {weak_from_this(), id};
}

} // namespace jy
