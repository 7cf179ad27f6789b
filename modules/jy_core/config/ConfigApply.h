#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/config/ConfigDifference.h"
#include "jy_core/config/ConfigParts.h"
#include "jy_core/config/KvValue.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jy {

/** A request of an operator to apply a desired-state file. */
struct ConfigApplyRequest
{
    std::string text;

    /** Unique for each request. A repetition with the same id has no further effect. */
    std::string requestId;

    std::string author;

    /** The revision that the file was derived from; empty for the one in force. */
    std::optional<std::uint64_t> baseRevision;
};

struct ConfigApplySettings
{
    /** Time after which a failed call is no longer repeated. */
    Duration timeout = std::chrono::seconds(10);

    /** Pause before a failed call to the KV service is repeated. */
    std::chrono::milliseconds retryPause{200};
};

/** An apply that succeeded. */
struct ConfigApplied
{
    std::uint64_t revision = 0;

    /** False when the file equals the state in force or the request was applied before. */
    bool changed = false;

    ConfigDifference difference;
};

/**
 * State machine that applies one file: it validates the file, writes the missing parts and swaps
 * the head with compare-and-swap. Each step returns the next action; the caller performs it and
 * passes in the result.
 *
 * ConfigInvalid, ConfigConflict and KvUnavailable mean that the request was not and will not be
 * applied, KvOutcomeUnknown that it may be in force.
 */
class ConfigApply
{
public:
    struct ReadKey
    {
        std::string key;
    };
    struct SwapKey
    {
        std::string key;
        std::string value;
        std::uint64_t expectedIndex = 0;
    };
    struct Pause
    {
        std::chrono::milliseconds duration;
    };
    struct Finished
    {
        Result<ConfigApplied> result;
    };
    using Action = std::variant<ReadKey, SwapKey, Pause, Finished>;

    /**
     * @param local the revision that this router holds, or null; its parts need not be read, and
     *              the new revision is always higher
     * @param wallNow for checking the deadlines of moves
     * @returns ConfigInvalid for faults that are found without the state in force
     */
    static Result<ConfigApply> create(const ConfigApplySettings &settings,
                                      ConfigApplyRequest request,
                                      std::shared_ptr<const ConfigSnapshot> local, WallTime wallNow,
                                      TimePoint now);

    Action start();
    Action onRead(Result<std::optional<KvValue>> result, TimePoint now);
    Action onSwap(const Result<std::uint64_t> &result, TimePoint now);
    Action onPauseEnded();

private:
    enum class Phase { ReadHead, ReadPart, WritePart, SwapHead, ReadHeadAgain };

    ConfigApply() = default;

    Action act() const;
    Action retry(const Error &error, TimePoint now);
    Action finish(Result<ConfigApplied> result) const;
    Action onHead(std::optional<KvValue> head);
    Action onHeadAgain(const std::optional<KvValue> &head);
    Action collectParts();
    Action prepare();
    Action fail(ErrorKind kind, std::string message) const;
    Action conflict() const;
    Result<ConfigHead> nextHead();

    ConfigApplySettings settings_;
    ConfigApplyRequest request_;
    DesiredState submitted_;
    std::shared_ptr<const ConfigSnapshot> local_;
    WallTime wallNow_;
    TimePoint deadline_;

    Phase phase_ = Phase::ReadHead;

    // The head that was read last, and the state that it describes, available after its parts were
    // read.
    KvValue base_;
    ConfigHead baseHead_;
    std::shared_ptr<const ConfigSnapshot> inForce_;
    ConfigContents received_;
    MissingParts missing_;

    // Set when another head has replaced the base. The apply then only reports the difference.
    bool conflicted_ = false;

    // Set when the response to a swap of the head was lost, so that the swap may take effect.
    bool mayBeApplied_ = false;

    ConfigDifference difference_;
    std::vector<std::pair<std::string, std::shared_ptr<const std::string>>> toWrite_;
    std::string newHeadText_;
    std::uint64_t newRevision_ = 0;
};

} // namespace jy
