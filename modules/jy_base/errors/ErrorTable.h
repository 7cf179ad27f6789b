#pragma once

#include "jy_base/errors/Error.h"

#include <optional>
#include <span>
#include <string_view>

namespace jy {

/** What is known about the request's effect on the backend server. */
enum class Effect {
    NotRun, /**< no byte of the request can have reached a backend server */
    Ran, /**< the backend server ran the request */
    Unknown, /**< the request may or may not have run */
};

/** What the caller should do next. */
enum class RetryAdvice {
    Never,
    Later, /**< the same router after retryAfter */
    OtherRouter, /**< another address of the lookup at once */
    SameKey, /**< repeat with the same idempotency key to learn the outcome */
};

/** The answer that belongs to one error kind. */
struct ErrorAnswer
{
    ErrorKind kind;
    std::string_view name;
    int httpStatus;

    /** gRPC status code; see grpc::StatusCode. */
    int grpcStatus;

    Effect effect;
    RetryAdvice advice;
};

/** All rows, one for each kind, in the order of ErrorKind. */
std::span<const ErrorAnswer> errorTable();

/** The row of a kind. */
const ErrorAnswer &answerFor(ErrorKind kind);

/** Finds a kind by its name. @returns nothing for an unknown name. */
std::optional<ErrorKind> errorKindFromName(std::string_view name);

std::string_view toString(Effect effect);
std::string_view toString(RetryAdvice advice);

} // namespace jy
