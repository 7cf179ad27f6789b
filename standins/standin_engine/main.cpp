#include "Engine.h"

#include "common/Registration.h"

#include <absl/flags/flag.h>

#include <stdexcept>

ABSL_FLAG(std::uint16_t, port, 9000, "first port; engines use consecutive ports");
ABSL_FLAG(int, count, 1, "number of engines");
ABSL_FLAG(std::uint16_t, control_port, 8999, "port of the control interface");
ABSL_FLAG(int, first_id, 0, "number in the id of the first engine, \"engine-N\"");
ABSL_FLAG(std::string, model, "wattle-8b", "model");
ABSL_FLAG(std::string, model_version, "v1", "version that is loaded at the start");
ABSL_FLAG(std::string, domain, "a", "failure domain");
ABSL_FLAG(std::string, region, "local", "region");
ABSL_FLAG(std::string, knobs, "{}", "JSON object; see EngineKnobs");
ABSL_FLAG(std::uint16_t, instances_port, 0, "port of standin_instances to register at");
ABSL_FLAG(int, listed_port_offset, 0, "added to the listed ports, for a proxy in between");
ABSL_FLAG(std::uint16_t, weights_port, 0, "port of standin_weights to fetch versions from");

/**
 * Model engines. GET /engines at the control port lists counts; PUT /engines/N (from 0) or
 * /engines/all changes knobs, or with {"action": A} restarts ("restart"), empties the cache
 * ("cold"), closes and opens the port ("stop", "start"), or changes the listing ("leave",
 * "unlist", "list").
 */
namespace jy::standins {

namespace {

class EngineProcess
{
public:
    explicit EngineProcess(EventLoop &loop)
        : loop_(loop)
        , http_(HttpClient::create(loop, {}))
    {
        updateKnobs(knobs_, boost::json::parse(absl::GetFlag(FLAGS_knobs)).as_object());
        for (int i = 0; i < absl::GetFlag(FLAGS_count); ++i)
            addEngine(i);
        EventLoop::spawn([this] {
            while (true) {
                for (const auto &unit : units_)
                    unit->engine.sampleLoad();
                EventLoop::sleepFor(std::chrono::milliseconds(20));
            }
        });
    }

    void control(const HttpRequest &request, HttpResponder &responder)
    {
        const std::string name(request.path().substr(request.path().rfind('/') + 1));
        const boost::json::object json = bodyObject(request);
        boost::json::array counts;
        for (std::size_t i = 0; i < units_.size(); ++i) {
            Unit &unit = *units_[i];
            if (request.method != "GET" && (name == "all" || name == std::to_string(i))) {
                unit.engine.update(json);
                if (const auto *action = json.if_contains("action"))
                    act(unit, std::string(action->as_string()));
            }
            counts.push_back(unit.engine.counts());
        }
        sendJson(responder, counts);
    }

private:
    struct Unit
    {
        Engine engine;
        Registration registration;
        std::uint16_t port;
        std::unique_ptr<HttpServer> server;
    };

    void addEngine(int index)
    {
        const std::string id = "engine-" + std::to_string(absl::GetFlag(FLAGS_first_id) + index);
        const auto port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port) + index);
        const auto listedPort =
            static_cast<std::uint16_t>(port + absl::GetFlag(FLAGS_listed_port_offset));
        const std::string version = absl::GetFlag(FLAGS_model_version);
        const boost::json::object meta{{"region", absl::GetFlag(FLAGS_region)},
                                       {"domain", absl::GetFlag(FLAGS_domain)},
                                       {"model", absl::GetFlag(FLAGS_model)},
                                       {"version", version},
                                       {"checks_fencing", knobs_.checkFencing ? "true" : "false"}};
        auto unit =
            std::unique_ptr<Unit>(new Unit{Engine(id, absl::GetFlag(FLAGS_model), version, knobs_),
                                           Registration(*http_, absl::GetFlag(FLAGS_instances_port),
                                                        "engine", id, listedPort, meta),
                                           port, nullptr});
        Unit &added = *unit;
        added.engine.versionChanged = [&added] {
            added.registration.set("version", boost::json::string(added.engine.version()));
        };
        if (absl::GetFlag(FLAGS_weights_port) != 0)
            added.engine.fetchWeights = [this](const auto &version) { return fetch(version); };
        added.engine.fetch = [this](const std::string &address, const std::string &target) {
            return get(address, target);
        };
        units_.push_back(std::move(unit));
        open(added);
        added.registration.list();
    }

    void open(Unit &unit)
    {
        if (unit.server)
            return;
        unit.server = listenOn(loop_, unit.port, [&unit](const auto &request, auto &responder) {
            unit.engine.handle(request, responder);
        });
    }

    void act(Unit &unit, const std::string &action)
    {
        if (action == "restart") {
            unit.engine.restart();
        } else if (action == "cold") {
            unit.engine.makeCold();
        } else if (action == "stop") {
            unit.server.reset();
        } else if (action == "start") {
            unit.engine.restart();
            open(unit);
        } else if (action == "leave") {
            unit.registration.set("state", "leaving");
        } else if (action == "list") {
            unit.registration.set("state", "live");
        } else if (action == "unlist") {
            unit.registration.unlist();
        } else {
            throw std::invalid_argument("unknown action: " + action);
        }
    }

    bool fetch(const std::string &version)
    {
        const std::string target =
            "/v1/weights/" + absl::GetFlag(FLAGS_model) + '/' + version + "/data";
        const auto response = http_->request({"127.0.0.1", absl::GetFlag(FLAGS_weights_port)},
                                             {.target = target}, std::chrono::minutes(5));
        return response && response.value().status == 200;
    }

    std::string get(const std::string &address, const std::string &target)
    {
        const auto colon = address.rfind(':');
        const Endpoint endpoint{address.substr(0, colon),
                                static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
        const auto response = http_->request(endpoint, {.target = target}, std::chrono::seconds(5));
        if (!response || response.value().status != 200)
            throw std::runtime_error("import failed from " + address);
        return response.value().body;
    }

    EventLoop &loop_;
    std::unique_ptr<HttpClient> http_;
    EngineKnobs knobs_;
    std::vector<std::unique_ptr<Unit>> units_;
};

} // namespace

} // namespace jy::standins

int main(int argc, char **argv)
{
    using namespace jy::standins;
    std::unique_ptr<EngineProcess> process;
    return runStandin(argc, argv, [&](jy::EventLoop &loop) {
        process = std::make_unique<EngineProcess>(loop);
        return listenOnAll(loop, absl::GetFlag(FLAGS_control_port), 1,
                           [&](int, const auto &request, auto &responder) {
                               process->control(request, responder);
                           });
    });
}
