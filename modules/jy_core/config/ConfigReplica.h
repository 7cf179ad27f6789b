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
    /** A lower revision was offered, as an outdated peer or a restored KV service does. */
    bool lowerRevision = false;

    /**
     * The revision in force was offered with another content. This happens only when the KV
     * service lost data and the revision was assigned a second time.
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
 * The copy of the desired state that a router holds. Adopts only higher revisions, and only when
 * every part is present and its content matches its hash, so that a state is never partly new.
 */
class ConfigReplica
{
public:
    /**
     * Offers a revision.
     *
     * @param headText the head document
     * @param contents of parts, in any order; each is identified by its hash, so content that the
     *                 head does not name has no effect
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
     * Part name to hash of what need not be transferred again, including the parts received for
     * a revision that is not complete yet.
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
