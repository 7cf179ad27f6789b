#include "common/Standin.h"

#include <absl/flags/flag.h>

#include <algorithm>

ABSL_FLAG(std::uint16_t, port, 8800, "port of the API and of /control");
ABSL_FLAG(double, bytes_per_second, 500e6, "rate shared by all transfers");
ABSL_FLAG(std::uint64_t, version_bytes, 100000000, "size of every version");

/**
 * Weight store that shares a limited rate evenly between transfers. The time of a transfer is
 * real, its content is not sent. PUT /control changes bytes_per_second, version_bytes and down.
 */
namespace jy::standins {

namespace {

class WeightService
{
public:
    void handle(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.path() == "/control")
            control(request, responder);
        else if (down_)
            responder.send(503, {}, "unavailable");
        else if (request.path() == "/v1/rate")
            sendJson(responder,
                     boost::json::object{{"bytes_per_second", rate_}, {"transfers", transfers_}});
        else if (request.path().ends_with("/data"))
            transfer(responder);
        else
            sendJson(responder, boost::json::object{{"bytes", bytes_}});
    }

private:
    void transfer(HttpResponder &responder)
    {
        constexpr std::chrono::milliseconds step{20};
        ++transfers_;
        most_ = std::max(most_, transfers_);
        auto left = static_cast<double>(bytes_);
        while (left > 0 && !responder.callerGone()) {
            EventLoop::sleepFor(step);
            left -= rate_ / transfers_ * std::chrono::duration<double>(step).count();
        }
        --transfers_;
        ++finished_;
        sendJson(responder, boost::json::object{{"bytes", bytes_}});
    }

    void control(const HttpRequest &request, HttpResponder &responder)
    {
        const auto json = bodyObject(request);
        readField(json, "bytes_per_second", rate_);
        readField(json, "version_bytes", bytes_);
        readField(json, "down", down_);
        sendJson(responder,
                 boost::json::object{{"transfers", transfers_},
                                     {"most_transfers", most_},
                                     {"finished", finished_}});
    }

    double rate_ = absl::GetFlag(FLAGS_bytes_per_second);
    std::uint64_t bytes_ = absl::GetFlag(FLAGS_version_bytes);
    bool down_ = false;
    int transfers_ = 0;
    int most_ = 0;
    int finished_ = 0;
};

} // namespace

} // namespace jy::standins

int main(int argc, char **argv)
{
    using namespace jy::standins;
    std::unique_ptr<WeightService> service;
    return runStandin(argc, argv, [&](jy::EventLoop &loop) {
        service = std::make_unique<WeightService>();
        return listenOnAll(loop, absl::GetFlag(FLAGS_port), 1,
                           [&](int, const auto &request, auto &responder) {
                               service->handle(request, responder);
                           });
    });
}
