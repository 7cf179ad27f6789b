#include "jy_base/errors/ErrorTable.h"

#include <algorithm>
#include <array>

namespace jy {

namespace {

// gRPC status codes, as numbers so that this module does not depend on gRPC.
constexpr int grpcCancelled = 1;
constexpr int grpcUnknown = 2;
constexpr int grpcInvalidArgument = 3;
constexpr int grpcDeadlineExceeded = 4;
constexpr int grpcNotFound = 5;
constexpr int grpcResourceExhausted = 8;
constexpr int grpcFailedPrecondition = 9;
constexpr int grpcAborted = 10;
constexpr int grpcInternal = 13;
constexpr int grpcUnavailable = 14;
constexpr int grpcUnauthenticated = 16;

using enum Effect;
using enum RetryAdvice;
using K = ErrorKind;

constexpr std::array table{
    ErrorAnswer{K::BadRequest, "bad_request", 400, grpcInvalidArgument, NotRun, Never},
    ErrorAnswer{K::Unauthenticated, "unauthenticated", 401, grpcUnauthenticated, NotRun, Never},
    ErrorAnswer{K::UnknownWorkspace, "unknown_workspace", 404, grpcNotFound, NotRun, Never},
    ErrorAnswer{K::UnknownModel, "unknown_model", 404, grpcNotFound, NotRun, Never},
    ErrorAnswer{K::UnknownService, "unknown_service", 404, grpcNotFound, NotRun, Never},
    ErrorAnswer{K::UnknownTarget, "unknown_target", 404, grpcNotFound, NotRun, Never},
    ErrorAnswer{K::PayloadTooLarge, "payload_too_large", 413, grpcInvalidArgument, NotRun, Never},
    ErrorAnswer{K::RequestTimeout, "request_timeout", 408, grpcDeadlineExceeded, NotRun, Later},
    ErrorAnswer{K::Overloaded, "overloaded", 503, grpcResourceExhausted, NotRun, Later},
    ErrorAnswer{K::WorkspaceLimited, "workspace_limited", 429, grpcResourceExhausted, NotRun,
                Later},
    ErrorAnswer{K::OverBound, "over_bound", 503, grpcResourceExhausted, NotRun, Later},
    ErrorAnswer{K::Cold, "cold", 503, grpcResourceExhausted, NotRun, Later},
    ErrorAnswer{K::PromptQuarantined, "prompt_quarantined", 503, grpcFailedPrecondition, NotRun,
                Later},
    ErrorAnswer{K::DomainOut, "domain_out", 307, grpcFailedPrecondition, NotRun, OtherRouter},
    ErrorAnswer{K::ServerLeaving, "server_leaving", 503, grpcFailedPrecondition, NotRun, Later},
    ErrorAnswer{K::VersionStopped, "version_stopped", 503, grpcFailedPrecondition, NotRun, Later},
    ErrorAnswer{K::NotOwner, "not_owner", 503, grpcFailedPrecondition, NotRun, OtherRouter},
    ErrorAnswer{K::NotReady, "not_ready", 503, grpcUnavailable, NotRun, OtherRouter},
    ErrorAnswer{K::NoCapacity, "no_capacity", 503, grpcUnavailable, NotRun, Later},
    ErrorAnswer{K::DeadlineTooShort, "deadline_too_short", 504, grpcDeadlineExceeded, NotRun,
                Later},
    ErrorAnswer{K::RetryBudgetSpent, "retry_budget_spent", 503, grpcUnavailable, NotRun, Later},
    ErrorAnswer{K::PeerUnreachable, "peer_unreachable", 503, grpcUnavailable, NotRun, Later},
    ErrorAnswer{K::ConnectFailed, "connect_failed", 502, grpcUnavailable, NotRun, Later},
    ErrorAnswer{K::KvUnavailable, "kv_unavailable", 503, grpcUnavailable, NotRun, Later},
    ErrorAnswer{K::KvConflict, "kv_conflict", 409, grpcAborted, NotRun, Later},
    ErrorAnswer{K::KvHistoryLost, "kv_history_lost", 503, grpcUnavailable, NotRun, Later},
    ErrorAnswer{K::ConfigInvalid, "config_invalid", 422, grpcInvalidArgument, NotRun, Never},
    ErrorAnswer{K::ConfigConflict, "config_conflict", 409, grpcAborted, NotRun, Never},
    ErrorAnswer{K::SettingsInvalid, "settings_invalid", 422, grpcInvalidArgument, NotRun, Never},
    ErrorAnswer{K::KeyInvalid, "key_invalid", 400, grpcInvalidArgument, NotRun, Never},
    // An expired key says nothing about an earlier attempt, whose record may be gone.
    ErrorAnswer{K::KeyExpired, "key_expired", 410, grpcFailedPrecondition, Unknown, Never},
    ErrorAnswer{K::LeaseLost, "lease_lost", 409, grpcAborted, NotRun, Later},
    ErrorAnswer{K::ShuttingDown, "shutting_down", 503, grpcUnavailable, NotRun, OtherRouter},
    ErrorAnswer{K::BackendFailed, "backend_failed", 502, grpcUnknown, Ran, Later},
    ErrorAnswer{K::BackendBroken, "backend_broken", 502, grpcUnavailable, Unknown, SameKey},
    ErrorAnswer{K::DeadlineExceeded, "deadline_exceeded", 504, grpcDeadlineExceeded, Unknown,
                SameKey},
    ErrorAnswer{K::OutcomeUnknown, "outcome_unknown", 409, grpcAborted, Unknown, SameKey},
    ErrorAnswer{K::KvOutcomeUnknown, "kv_outcome_unknown", 503, grpcUnavailable, Unknown, SameKey},
    ErrorAnswer{K::Cancelled, "cancelled", 499, grpcCancelled, Unknown, SameKey},
    ErrorAnswer{K::Internal, "internal", 500, grpcInternal, Unknown, SameKey},
};

constexpr bool isInOrder()
{
    for (std::size_t i = 0; i < table.size(); ++i) {
        if (static_cast<std::size_t>(table[i].kind) != i)
            return false;
    }
    return table.size() == static_cast<std::size_t>(K::Internal) + 1;
}

static_assert(isInOrder(), "the table needs one row for each kind, in the order of ErrorKind");

} // namespace

std::span<const ErrorAnswer> errorTable()
{
    return table;
}

const ErrorAnswer &answerFor(ErrorKind kind)
{
    return table[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    const auto *row = std::find_if(table.begin(), table.end(), [name](const ErrorAnswer &answer) {
        return answer.name == name;
    });
    if (row == table.end())
        return std::nullopt;
    return row->kind;
}

std::string_view toString(Effect effect)
{
    switch (effect) {
    case NotRun:
        return "not_run";
    case Ran:
        return "ran";
    case Effect::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(RetryAdvice advice)
{
    switch (advice) {
    case Never:
        return "never";
    case Later:
        return "later";
    case OtherRouter:
        return "other_router";
    case SameKey:
        return "same_key";
    }
    return "never";
}

} // namespace jy
