#pragma once

#include "jy_gateway/adapter/SharedStore.h"
#include "jy_gateway/duties/UsageCounts.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace jy {

/** A report that has been stored and therefore may only be sent with exactly these counts. */
struct StoredReport
{
    UsageReport report;

    /** The platform has accepted it. */
    bool accepted = false;

    /** Era of the store when the list with this report was written last; nothing if an earlier
     * build wrote it. */
    std::optional<StoreEra> era;

    bool operator==(const StoredReport &) const = default;
};

struct UsageReportSettings
{
    UsageCalendar calendar;

    /** Time after the end of a window at which its report is due. */
    std::chrono::milliseconds lateness{10000};
};

/**
 * Decides which usage window is reported next, and with what counts.
 *
 * The platform must never get two different reports of one window, whoever sends them. So a report
 * is stored in the shared store first, on the condition that nobody else has stored one, and only
 * stored reports are sent. A new holder loads the stored reports and sends the unaccepted ones
 * unchanged.
 *
 * A restore of the store loses stored reports. The reports that this process has stored or loaded
 * stay as they are; windows whose report may be lost without its knowledge are not reported.
 */
class UsageReports
{
public:
    enum class Step {
        Wait,
        Store, /**< store the report of the window, then call stored() */
        Send, /**< send the stored report, then call accepted() or failed() */
    };

    struct Action
    {
        Step step = Step::Wait;
        UsageWindow window = 0;
    };

    explicit UsageReports(UsageReportSettings settings);

    /**
     * Adds the stored reports to the known ones, which remain unchanged. Those that the platform
     * has accepted from this instance are not sent again.
     *
     * @param lostBefore nothing if all reports are known that another instance may have stored;
     * otherwise those stored before that time may be lost
     */
    void load(const std::deque<StoredReport> &reports, std::optional<WallTime> lostBefore);

    /**
     * @param first oldest window with requests; nothing without any
     * @param complete whether all counts up to a time have arrived
     */
    Action next(std::optional<UsageWindow> first, WallTime now,
                const std::function<bool(WallTime until)> &complete) const;

    /** The reports to be stored together with a new one, in an era of the store. */
    std::deque<StoredReport> withNew(UsageReport report, StoreEra era) const;

    /** The store has accepted @p reports. */
    void stored(std::deque<StoredReport> reports) { reports_ = std::move(reports); }

    void accepted(UsageWindow window);

    /** The call failed or its outcome is unknown; it is repeated after a pause. */
    void failed(WallTime now);

    const StoredReport *find(UsageWindow window) const;

    /** The oldest window that may still be stored. */
    UsageWindow oldestNeeded(WallTime now) const;

private:
    /** Counts of the last requests of a window arrive within this time after its end. */
    static constexpr std::chrono::milliseconds settlingTime{1500};

    /** Difference that the true times of two instances may have. */
    static constexpr std::chrono::milliseconds clockTolerance{500};

    /** Reports kept in the store for the next holder. */
    static constexpr std::size_t maxStored = 4;

    static constexpr std::chrono::milliseconds firstRetryPause{400};
    static constexpr std::chrono::milliseconds maxRetryPause{2000};

    /** Time after the end of a window for which missing counts of live instances are awaited. */
    std::chrono::milliseconds patience() const { return settings_.lateness * 6 / 10; }

    /** Windows that ended longer ago are skipped. */
    std::chrono::milliseconds oldestReported() const { return 3 * settings_.lateness; }

    UsageReportSettings settings_;
    std::deque<StoredReport> reports_;

    /** Earlier windows may have been reported without the knowledge of this process. */
    std::optional<UsageWindow> firstUnreported_;
    WallTime retryAt_;
    std::chrono::milliseconds retryPause_ = firstRetryPause;
};

/** Whether the list was written in this era, so that no restore has lost a report since. */
bool writtenIn(StoreEra era, const std::deque<StoredReport> &reports);

/** Encodes stored reports as JSON. */
std::string encodeReports(const std::deque<StoredReport> &reports);
std::optional<std::deque<StoredReport>> decodeReports(std::string_view text);

} // namespace jy
