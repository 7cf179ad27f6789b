#include "ProxyLink.h"

#include "common/Standin.h"

#include <absl/flags/flag.h>

#include <fstream>
#include <iterator>
#include <map>

ABSL_FLAG(std::uint16_t, port, 0, "port of the control interface");
ABSL_FLAG(
    std::string, settings, "",
    "JSON file: {\"links\": [{\"name\", \"protocol\": \"tcp\"|\"udp\", \"listen\", \"target\", "
    "rules...}]}");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random faults");

/**
 * TCP and UDP proxy with faults. GET /links shows rules and counts; PUT /links/NAME with a JSON
 * object changes the rules of one link; NAME "all" stands for every link.
 */
namespace jy::standins {

namespace {

class FaultProxy
{
public:
    FaultProxy(EventLoop &loop, std::uint64_t seed)
        : loop_(loop)
        , dice_(seed)
    { }

    void addLink(const boost::json::object &json)
    {
        const auto port = [&](const char *name) {
            return json.at(name).to_number<std::uint16_t>();
        };
        const auto create = json.at("protocol") == "udp" ? createUdpLink : createTcpLink;
        auto link = create(loop_.io(), port("listen"), port("target"), dice_);
        updateRules(link->rules, json);
        links_[boost::json::value_to<std::string>(json.at("name"))] = std::move(link);
    }

    void handle(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.method == "GET") {
            sendJson(responder, counts());
            return;
        }
        const std::string name(request.path().substr(request.path().rfind('/') + 1));
        const boost::json::object rules = bodyObject(request);
        bool found = false;
        for (auto &[linkName, link] : links_) {
            if (name != linkName && name != "all")
                continue;
            found = true;
            updateRules(link->rules, rules);
            link->rulesChanged();
        }
        sendJson(responder, boost::json::object{{"found", found}}, found ? 200 : 404);
    }

private:
    boost::json::object counts() const
    {
        boost::json::object result;
        for (const auto &[name, link] : links_) {
            const LinkCounters &c = link->counters;
            result[name] = boost::json::object{{"sessions", c.sessions},
                                               {"bytes_forward", c.bytesForward},
                                               {"bytes_backward", c.bytesBackward},
                                               {"faults", c.faults}};
        }
        return result;
    }

    EventLoop &loop_;
    FaultDice dice_;
    std::map<std::string, std::shared_ptr<ProxyLink>> links_;
};

} // namespace

} // namespace jy::standins

int main(int argc, char **argv)
{
    using namespace jy::standins;
    std::unique_ptr<FaultProxy> proxy;
    return runStandin(argc, argv, [&](jy::EventLoop &loop) {
        proxy = std::make_unique<FaultProxy>(loop, absl::GetFlag(FLAGS_seed));
        std::ifstream file(absl::GetFlag(FLAGS_settings));
        const std::string text{std::istreambuf_iterator<char>(file), {}};
        const auto settings = boost::json::parse(text).as_object();
        for (const auto &link : settings.at("links").as_array())
            proxy->addLink(link.as_object());
        return listenOnAll(
            loop, absl::GetFlag(FLAGS_port), 1,
            [&](int, const auto &request, auto &responder) { proxy->handle(request, responder); });
    });
}
