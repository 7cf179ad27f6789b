#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace jy {

/** The closed list of error kinds. @see ErrorTable.h for the answer that each one gives. */
enum class ErrorKind {
    BadRequest,
    Unauthenticated,
    UnknownWorkspace,
    UnknownModel,
    UnknownService,
    UnknownTarget,
    PayloadTooLarge,
    RequestTimeout,
    Overloaded,
    WorkspaceLimited,
    OverBound,
    Cold,
    PromptQuarantined,
    DomainOut,
    ServerLeaving,
    VersionStopped,
    NotOwner,
    NotReady,
    NoCapacity,
    DeadlineTooShort,
    RetryBudgetSpent,
    PeerUnreachable,
    ConnectFailed,
    KvUnavailable,
    KvConflict,
    KvHistoryLost,
    ConfigInvalid,
    ConfigConflict,
    SettingsInvalid,
    KeyInvalid,
    KeyExpired,
    LeaseLost,
    ShuttingDown,
    BackendFailed,
    BackendBroken,
    DeadlineExceeded,
    OutcomeUnknown,
    KvOutcomeUnknown,
    Cancelled,
    Internal,
};

/** A failure: its kind, a message for people, and when to come back. */
struct Error
{
    ErrorKind kind = ErrorKind::Internal;

    /** One sentence that names the value at fault. */
    std::string message;

    /** Time after which a retry makes sense; zero when it is not known. */
    std::chrono::milliseconds retryAfter{0};
};

/** Holds a value or an Error. Reading the missing one terminates the process. */
template <class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/** Creates the failed state of any Result. */
inline auto failure(ErrorKind kind, std::string message,
                    std::chrono::milliseconds retryAfter = std::chrono::milliseconds{0})
{
    return boost::outcome_v2::failure(Error{kind, std::move(message), retryAfter});
}

/** The successful state of a Result<void>. */
inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace jy
