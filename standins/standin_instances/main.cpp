#include "common/Standin.h"

#include <absl/flags/flag.h>

#include <map>

ABSL_FLAG(std::uint16_t, port, 8600, "port of the API and of /control");
ABSL_FLAG(int, lag_ms, 500, "time from a change to its appearance in answers");

/**
 * Instance list with the health path of the Consul HTTP API (version 1).
 *
 * PUT /control/instances/SERVICE/ID with {"Address", "Port", "Meta": {...}} adds or changes an
 * instance, DELETE removes it; both show after the lag. PUT /control changes lag_ms, status (the
 * HTTP status of every answer) and wrong ("empty" lists no instance, "half" every second one).
 */
namespace jy::standins {

namespace {

constexpr std::string_view healthPrefix = "/v1/health/service/";
constexpr std::string_view instancesPrefix = "/control/instances/";

class InstanceService
{
public:
    explicit InstanceService(std::chrono::milliseconds lag)
        : lag_(lag)
    { }

    void handle(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.path().starts_with(healthPrefix))
            health(request, responder);
        else if (request.path().starts_with(instancesPrefix))
            change(request, responder);
        else
            control(request, responder);
    }

private:
    using Instances = std::map<std::string, boost::json::object>;

    void health(const HttpRequest &request, HttpResponder &responder)
    {
        ++calls_;
        const std::string name = percentDecode(request.path().substr(healthPrefix.size()));
        const BlockingQuery query = blockingQuery(request);
        waitForChange(changed_, query, responder, [&] { return index_ > query.index; });
        if (status_ != 200) {
            responder.send(status_, {}, "instance list unavailable");
            return;
        }
        boost::json::array found;
        int position = 0;
        for (const auto &[id, service] : shown_[name]) {
            const bool hidden = wrong_ == "empty" || (wrong_ == "half" && ++position % 2 == 0);
            if (hidden)
                continue;
            found.push_back(boost::json::object{
                {"Node", boost::json::object{{"Node", id}, {"Address", service.at("Address")}}},
                {"Service", service},
                {"Checks", boost::json::array{boost::json::object{{"Status", "passing"}}}}});
        }
        sendJson(responder, found, 200, {{"X-Consul-Index", std::to_string(index_)}});
    }

    void change(const HttpRequest &request, HttpResponder &responder)
    {
        const std::string_view rest = request.path().substr(instancesPrefix.size());
        const std::string name(rest.substr(0, rest.find('/')));
        const std::string id(rest.substr(rest.find('/') + 1));
        boost::json::object service = bodyObject(request);
        service["ID"] = id;
        service["Service"] = name;
        const bool removed = request.method == "DELETE";
        EventLoop::spawn([this, name, id, removed, service = std::move(service)] {
            EventLoop::sleepFor(lag_);
            if (removed)
                shown_[name].erase(id);
            else
                shown_[name][id] = service;
            ++index_;
            changed_.notify();
        });
        sendJson(responder, true);
    }

    void control(const HttpRequest &request, HttpResponder &responder)
    {
        const auto json = bodyObject(request);
        readField(json, "lag_ms", lag_);
        readField(json, "status", status_);
        readField(json, "wrong", wrong_);
        if (!json.empty()) {
            ++index_;
            changed_.notify();
        }
        sendJson(responder, boost::json::object{{"calls", calls_}, {"index", index_}});
    }

    std::chrono::milliseconds lag_;
    int status_ = 200;
    std::string wrong_;
    std::map<std::string, Instances> shown_;
    ChangeSignal changed_;
    std::uint64_t index_ = 1;
    std::uint64_t calls_ = 0;
};

} // namespace

} // namespace jy::standins

int main(int argc, char **argv)
{
    using namespace jy::standins;
    std::unique_ptr<InstanceService> service;
    return runStandin(argc, argv, [&](jy::EventLoop &loop) {
        service = std::make_unique<InstanceService>(
            std::chrono::milliseconds(absl::GetFlag(FLAGS_lag_ms)));
        return listenOnAll(loop, absl::GetFlag(FLAGS_port), 1,
                           [&](int, const auto &request, auto &responder) {
                               service->handle(request, responder);
                           });
    });
}
