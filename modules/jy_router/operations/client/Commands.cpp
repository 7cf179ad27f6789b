#include "jy_router/operations/client/Commands.h"

#include "jy_base/errors/ErrorTable.h"
#include "jy_core/config/ConfigValidator.h"
#include "jy_core/config/DesiredStateReader.h"
#include "jy_core/config/DesiredStateWriter.h"
#include "jy_router/operations/client/ConfigDifference.h"
#include "jy_router/operations/client/OperatorText.h"
#include "jy_runtime/settings/Settings.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <ostream>
#include <random>

namespace jy {

namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

// A router that fails over or a KV service that hiccups answers within this many attempts.
constexpr int maxApplyAttempts = 5;
constexpr auto retryPause = 200ms;
constexpr auto waitPause = 200ms;

std::string newRequestId()
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::random_device random;
    std::uniform_int_distribution<std::size_t> digit(0, digits.size() - 1);
    std::string id = "jyctl-";
    for (int i = 0; i < 32; ++i)
        id += digits[digit(random)];
    return id;
}

bool mayHaveRun(ErrorKind kind)
{
    return answerFor(kind).effect != Effect::NotRun;
}

std::int64_t integer(const json::value &value, std::string_view key)
{
    const auto *found = value.is_object() ? value.get_object().if_contains(key) : nullptr;
    return found && found->is_int64() ? found->get_int64() : 0;
}

Error unknownDomain(const std::string &domain, const DesiredState &state)
{
    std::string message = "unknown failure domain \"" + domain + "\"; allowed: ";
    const char *separator = "";
    for (const auto &[id, spec] : state.domains) {
        message.append(separator).append(id.value());
        separator = ", ";
    }
    return {ErrorKind::BadRequest, std::move(message)};
}

Result<DesiredState> checkedState(const std::string &file, const std::string &text)
{
    auto state = parseDesiredState(text);
    if (!state)
        return failure(ErrorKind::ConfigInvalid, file + ":\n" + state.error().message);
    return state;
}

} // namespace

Commands::Commands(OperatorClient &client, ControlOptions options, std::ostream &out,
                   std::ostream &err)
    : client_(client)
    , options_(std::move(options))
    , out_(out)
    , err_(err)
{ }

ControlExit Commands::validate(const std::string &file)
{
    const auto text = readTextFile(file);
    if (!text)
        return report(text.error());
    const auto state = checkedState(file, text.value());
    if (!state)
        return report(state.error());
    if (options_.routers.empty()) {
        const auto issues =
            validateDesiredState(state.value(), std::chrono::system_clock::now(), nullptr);
        if (!issues.empty())
            return report(toError(issues));
        out_ << file << ": valid\n";
        return ControlExit::Ok;
    }
    const auto response =
        callAny({.method = "PUT", .target = "/ops/config?check=1", .body = text.value()});
    if (!response)
        return report(response.error());
    if (options_.json) {
        out_ << response.value().body;
        return ControlExit::Ok;
    }
    out_ << file << ": valid\n";
    printWarnings(response.value());
    printDifference(state.value());
    return ControlExit::Ok;
}

ControlExit Commands::apply(const std::string &file)
{
    const auto text = readTextFile(file);
    if (!text)
        return report(text.error());
    auto state = checkedState(file, text.value());
    if (!state)
        return report(state.error());
    if (!options_.rebase)
        return finishApply(put(text.value()), state.value());
    const auto inForce = current();
    if (!inForce)
        return report(inForce.error());
    state.value().revision = inForce.value().revision;
    return finishApply(put(desiredStateText(state.value())), state.value());
}

ControlExit Commands::status()
{
    const auto status = getAny("/ops/status");
    if (!status)
        return report(status.error());
    out_ << (options_.json ? prettyJson(status.value()) : statusText(status.value()));
    return ControlExit::Ok;
}

ControlExit Commands::explain()
{
    const auto answer = explanation();
    if (!answer)
        return report(answer.error());
    if (options_.json)
        out_ << prettyJson(answer.value());
    else if (options_.server.empty())
        out_ << chatExplanationText(answer.value());
    else
        out_ << serverExplanationText(answer.value());
    return ControlExit::Ok;
}

ControlExit Commands::configGet()
{
    const auto response = callAny({.method = "GET", .target = "/ops/config"});
    if (!response)
        return report(response.error());
    out_ << response.value().body;
    return ControlExit::Ok;
}

ControlExit Commands::drain(const std::string &domain)
{
    return changeDomain(domain, DomainState::Out);
}

ControlExit Commands::returnDomain(const std::string &domain)
{
    return changeDomain(domain, DomainState::Returning);
}

/** Fetches the configuration, changes the domain and applies; starts again after a conflict. */
ControlExit Commands::changeDomain(const std::string &domain, DomainState wanted)
{
    for (int attempt = 1;; ++attempt) {
        auto state = current();
        if (!state)
            return report(state.error());
        const auto found = state.value().domains.find(DomainId(domain));
        if (found == state.value().domains.end())
            return report(unknownDomain(domain, state.value()));
        if (found->second.state == wanted) {
            out_ << "failure domain " << domain << " is already " << toString(wanted) << '\n';
            return ControlExit::Ok;
        }
        found->second.state = wanted;
        // The router that applies the file sets the start of the ramp.
        found->second.returnStart = {};
        const auto response = put(desiredStateText(state.value()));
        const bool conflict = !response && response.error().kind == ErrorKind::ConfigConflict;
        if (!conflict || attempt == maxApplyAttempts)
            return finishApply(response, state.value());
    }
}

/** Tries each router until one answers; an answer with an error counts. */
Result<HttpResponse> Commands::callAny(const HttpRequest &request)
{
    Error last{ErrorKind::BadRequest, "no router given; use --router=ADDRESS:PORT"};
    for (const auto &router : options_.routers) {
        auto response = client_.call(router, request);
        if (response)
            return response;
        last = response.error();
        last.message = toString(router) + ": " + last.message;
        const bool unreachable = last.kind == ErrorKind::ConnectFailed
            || last.kind == ErrorKind::NotReady || last.kind == ErrorKind::ShuttingDown;
        if (!unreachable)
            break;
    }
    return failure(last.kind, last.message);
}

Result<json::value> Commands::getAny(const std::string &target)
{
    BOOST_OUTCOME_TRY(const auto response, callAny({.method = "GET", .target = target}));
    boost::system::error_code error;
    auto value = json::parse(response.body, error);
    if (error)
        return failure(ErrorKind::BackendFailed, "response is not JSON: " + error.message());
    return value;
}

/** Sends a file; a lost response is resolved by sending it again with the same request id. */
Result<HttpResponse> Commands::put(const std::string &text)
{
    HttpRequest request{.method = "PUT", .target = "/ops/config", .body = text};
    request.headers.set("X-Request-Id", newRequestId());
    for (int attempt = 1;; ++attempt) {
        auto response = callAny(request);
        if (response || !mayHaveRun(response.error().kind) || attempt == maxApplyAttempts)
            return response;
        EventLoop::sleepFor(retryPause);
    }
}

Result<DesiredState> Commands::current()
{
    BOOST_OUTCOME_TRY(const auto response, callAny({.method = "GET", .target = "/ops/config"}));
    return parseDesiredState(response.body);
}

Result<json::value> Commands::explanation()
{
    if (options_.server.empty()) {
        return getAny("/ops/explain?chat=" + percentEncode(options_.chat)
                      + "&workspace=" + percentEncode(options_.workspace)
                      + "&model=" + percentEncode(options_.model));
    }
    const auto target = "/ops/explain?server=" + percentEncode(options_.server);
    BOOST_OUTCOME_TRY(auto answer, getAny(target));
    const auto *object = answer.if_object();
    const auto *ownedHere = object ? object->if_contains("owned_here") : nullptr;
    const auto *owner = object ? object->if_contains("owner_operations") : nullptr;
    if (ownedHere && *ownedHere == json::value(false) && owner && owner->is_string()) {
        // Only the owner knows the load; without it, the first answer is still useful.
        const auto endpoint = endpointFromString(std::string(owner->get_string()));
        auto detailed = endpoint ? client_.getJson(endpoint.value(), target)
                                 : Result<json::value>(failure(ErrorKind::Internal, ""));
        if (detailed)
            return detailed;
    }
    return answer;
}

ControlExit Commands::finishApply(const Result<HttpResponse> &response, const DesiredState &wanted)
{
    if (!response) {
        const auto code = report(response.error());
        if (code == ControlExit::Conflict)
            printDifference(wanted);
        return code;
    }
    boost::system::error_code error;
    const auto body = json::parse(response.value().body, error);
    const auto revision = integer(body, "revision");
    if (options_.json) {
        out_ << response.value().body;
    } else {
        out_ << "applied as revision " << revision << '\n';
        printWarnings(response.value());
    }
    return waitUntilInForce(revision) ? ControlExit::Ok : ControlExit::Failure;
}

/** @returns false when the revision is not in force everywhere in time. */
bool Commands::waitUntilInForce(std::int64_t revision)
{
    if (options_.wait <= 0ms)
        return true;
    const auto deadline = std::chrono::steady_clock::now() + options_.wait;
    std::string state = "no status received";
    while (std::chrono::steady_clock::now() < deadline) {
        const auto status = getAny("/ops/status");
        if (status && integer(status.value(), "revision") >= revision) {
            const auto live = integer(status.value(), "live_routers");
            const auto inForce = integer(status.value(), "in_force_on");
            state = "in force on " + std::to_string(inForce) + " of " + std::to_string(live)
                + " live routers";
            if (inForce == live) {
                if (!options_.json)
                    out_ << state << '\n';
                return true;
            }
        }
        EventLoop::sleepFor(waitPause);
    }
    err_ << "applied, but after " << options_.wait.count() << " ms: " << state
         << "; see jyctl status\n";
    return false;
}

void Commands::printWarnings(const HttpResponse &response)
{
    boost::system::error_code error;
    const auto body = json::parse(response.body, error);
    const auto *warnings = body.is_object() ? body.get_object().if_contains("warnings") : nullptr;
    if (!warnings || !warnings->is_array())
        return;
    for (const auto &warning : warnings->get_array()) {
        if (warning.is_string())
            err_ << "warning: " << std::string(warning.get_string()) << '\n';
    }
}

/** Shows what @p wanted would change in the configuration in force. */
void Commands::printDifference(const DesiredState &wanted)
{
    auto inForce = current();
    if (!inForce) {
        err_ << "the difference is not known: " << inForce.error().message << '\n';
        return;
    }
    const auto revision = inForce.value().revision;
    inForce.value().revision = wanted.revision;
    const auto lines = jsonDifference(json::parse(desiredStateText(inForce.value())),
                                      json::parse(desiredStateText(wanted)));
    out_ << "difference from revision " << revision
         << " to the file:" << (lines.empty() ? " none\n" : "\n");
    for (const auto &line : lines)
        out_ << "  " << line << '\n';
}

ControlExit Commands::report(const Error &error)
{
    err_ << "jyctl: " << error.message << '\n';
    switch (error.kind) {
    case ErrorKind::ConfigConflict:
    case ErrorKind::KvConflict:
        return ControlExit::Conflict;
    case ErrorKind::BadRequest:
    case ErrorKind::ConfigInvalid:
    case ErrorKind::SettingsInvalid:
        return ControlExit::Usage;
    case ErrorKind::KvOutcomeUnknown:
    case ErrorKind::OutcomeUnknown:
        err_ << "jyctl: the change may have been applied; see jyctl status\n";
        return ControlExit::Unknown;
    default:
        return ControlExit::Failure;
    }
}

} // namespace jy
