#pragma once

#include "jy_core/model/DesiredState.h"
#include "jy_router/operations/client/OperatorClient.h"

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

namespace jy {

/** Exit codes of jyctl beyond the shared ones. */
enum class ControlExit {
    Ok = 0,
    Failure = 1,
    Usage = 2, /**< wrong command line or invalid file */
    Conflict = 3, /**< another change was applied in between */
    Unknown = 4, /**< the change may or may not have been applied */
};

/** Parsed flags of jyctl. */
struct ControlOptions
{
    /** Operator endpoints, tried in order. */
    std::vector<Endpoint> routers;

    std::string chat;
    std::string workspace;
    std::string model;
    std::string server;

    bool json = false;

    /** Apply on top of whatever revision is in force. */
    bool rebase = false;

    /** Longest time to wait until a change is in force on all live routers. */
    std::chrono::milliseconds wait{0};
};

/** The commands that talk to a router. */
class Commands
{
public:
    Commands(OperatorClient &client, ControlOptions options, std::ostream &out, std::ostream &err);

    /** Checks a file here and, when a router is given, against the configuration in force. */
    ControlExit validate(const std::string &file);

    ControlExit apply(const std::string &file);
    ControlExit status();
    ControlExit explain();
    ControlExit configGet();

    /** Takes a failure domain out of service. */
    ControlExit drain(const std::string &domain);

    /** Brings a failure domain back with a ramp. */
    ControlExit returnDomain(const std::string &domain);

private:
    ControlExit changeDomain(const std::string &domain, DomainState wanted);
    Result<HttpResponse> callAny(const HttpRequest &request);
    Result<boost::json::value> getAny(const std::string &target);
    Result<HttpResponse> put(const std::string &text);
    Result<DesiredState> current();
    Result<boost::json::value> explanation();
    ControlExit finishApply(const Result<HttpResponse> &response, const DesiredState &wanted);
    bool waitUntilInForce(std::int64_t revision);
    void printWarnings(const HttpResponse &response);
    void printDifference(const DesiredState &wanted);
    ControlExit report(const Error &error);

    OperatorClient &client_;
    ControlOptions options_;
    std::ostream &out_;
    std::ostream &err_;
};

} // namespace jy
