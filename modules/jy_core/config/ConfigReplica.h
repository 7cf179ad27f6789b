#pragma once

#include "jy_core/config/ConfigDifference.h"
#include "jy_core/config/ConfigParts.h"

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jy {

/** The offered revision is now in force. */
struct ConfigAdopted
{
    std::uint64_t previousRevision = 0;
    std::uint64_t revision = 0;
};

/** The offer changes nothing. */
struct ConfigIgnored
{
    /** A lower revision was offered, for example by an outdated peer or a restored KV service. */
    bool lowerRevision = false;

    /**
     * The revision in force was offered with another head. This happens only when the KV service
     * lost data and the revision was assigned a second time.
     */
    bool sameRevisionOtherHead = false;
};

/** The revision is higher; offer it again together with these parts. */
struct ConfigNeedParts
{
    std::uint64_t revision = 0;
    MissingParts parts;
};

/** The head or a part does not parse; the revision in force stays. */
struct ConfigRejected
{
    Error error;
};

using ConfigOfferResult =
    std::variant<ConfigAdopted, ConfigIgnored, ConfigNeedParts, ConfigRejected>;

/**
 * The copy of the desired state that a router holds. It adopts only higher revisions, and only when
 * every part is present and matches its hash, so that it never mixes two revisions.
 */
class ConfigReplica
{
public:
    /**
     * Offers a revision, which is adopted if it is higher and complete.
     *
     * @param headText the head document
     * @param contents contents of parts, in any order. Each is identified by its hash; content to
     *                 which the head does not refer is ignored.
     */
    ConfigOfferResult offer(std::string_view headText, std::vector<std::string> contents);

    /** The revision in force; 0 before the first one. */
    std::uint64_t revision() const { return snapshot_ ? snapshot_->head.revision : 0; }

    /** The state in force, or null. */
    std::shared_ptr<const DesiredState> current() const
    {
        return snapshot_ ? snapshot_->state : nullptr;
    }

    std::shared_ptr<const ConfigSnapshot> snapshot() const { return snapshot_; }

    /**
     * Names and hashes of the parts that need not be transferred again, including those received
     * for a revision that is not complete yet.
     */
    MissingParts held() const;

private:
    std::shared_ptr<const ConfigSnapshot> snapshot_;

    // Parts received for a revision that is not complete yet, by hash.
    ConfigContents received_;

    // Names and hashes of the parts in received_.
    MissingParts receivedNames_;
};

} // namespace jy
