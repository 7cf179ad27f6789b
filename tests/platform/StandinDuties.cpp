#include "StandinDuties.h"

#include "platform/JsonReader.h"
#include "platform/WireNames.h"

#include <algorithm>

namespace jy::platform::test {

StandinDuties::StandinDuties(EventLoop &loop)
    : server_(HttpServer::create(loop, {}, [this](const auto &request, auto &responder) {
                  handle(request, responder);
              }).value())
{ }

StandinDuties::~StandinDuties()
{
    server_->stop();
}

void StandinDuties::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (status != 0 && status != 200) {
        responder.send(status, {}, "");
        return;
    }
    const Act act{std::string(request.headers.value(wire::dutyHolder)),
                  std::stoull(std::string(request.headers.value(wire::fencingToken))),
                  std::chrono::steady_clock::now()};
    const auto body = parseObject(request.body).value_or(boost::json::object());
    const JsonReader reader(body);
    if (request.path() == wire::usagePath) {
        checkOrder("usage", act);
        const auto window = reader.integer("window").value_or(0);
        if (bodies_.try_emplace(window, request.body).first->second != request.body)
            violations.push_back("window " + std::to_string(window) + " has two reports");
        auto &sum = reported[window];
        sum = 0;
        if (const auto *counts = reader.object("counts")) {
            for (const auto &[workspace, count] : *counts)
                sum += count.to_number<std::uint64_t>();
        }
    } else {
        const auto subject =
            reader.text("service").value_or("") + '/' + reader.text("zone").value_or("");
        checkOrder(subject, act);
        ordered[subject] = static_cast<int>(reader.integer("desired_count").value_or(-1));
    }
    if (holders.empty() || holders.back() != act.holder)
        holders.push_back(act.holder);
    if (status == 0)
        EventLoop::sleepFor(std::chrono::seconds(2));
    responder.send(200, {}, "");
}

void StandinDuties::checkOrder(const std::string &subject, const Act &act)
{
    auto &acts = acts_[subject];
    bool otherBetween = false;
    for (auto earlier = acts.rbegin(); earlier != acts.rend(); ++earlier) {
        if (act.token < earlier->token)
            violations.push_back(subject + ": a token fell");
        if (act.token == earlier->token && act.holder != earlier->holder)
            violations.push_back(subject + ": two holders share a token");
        otherBetween = otherBetween || earlier->holder != act.holder;
        if (otherBetween && earlier->holder == act.holder && act.at - earlier->at < leaseTime)
            violations.push_back(subject + ": a holder returned within the lease time");
    }
    acts.push_back(act);
}

} // namespace jy::platform::test
