#pragma once

#include "jy_http/jy_http.h"
#include "jy_runtime/jy_runtime.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jy::platform::test {

/**
 * In-process stand-in for the platform's calls that are reserved to the holder of a duty. Checks
 * that holders act one after the other and that no window is reported with different counts.
 */
class StandinDuties
{
public:
    explicit StandinDuties(EventLoop &loop);
    ~StandinDuties();

    Endpoint endpoint() const { return server_->localEndpoint(); }

    /** Status of further responses; 0 accepts calls but sends no response. */
    int status = 200;

    /** Minimum time between two acts of one holder with another holder between them. */
    std::chrono::milliseconds leaseTime{3000};

    /** Requests that were reported for a window, over all workspaces. */
    std::map<std::int64_t, std::uint64_t> reported;

    /** Latest order by service and failure domain. */
    std::map<std::string, int> ordered;

    /** Names of the holders in the order in which they took over. */
    std::vector<std::string> holders;

    /** Descriptions of all violations. */
    std::vector<std::string> violations;

private:
    struct Act
    {
        std::string holder;
        std::uint64_t token = 0;
        TimePoint at;
    };

    void handle(const HttpRequest &request, HttpResponder &responder);
    void checkOrder(const std::string &subject, const Act &act);

    std::map<std::string, std::vector<Act>> acts_;
    std::map<std::int64_t, std::string> bodies_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace jy::platform::test
