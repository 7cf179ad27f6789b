#include "jy_router/assembly/RouterContext.h"

#include "jy_core/membership/RouterChoice.h"
#include "jy_runtime/logging/Log.h"

#include <algorithm>

namespace jy {

namespace {

std::uint64_t startTime()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

RouterContext::RouterContext(EventLoop &eventLoop, RouterSettings routerSettings)
    : loop(eventLoop)
    , settings(std::move(routerSettings))
    , incarnation(startTime())
    , events(settings.instance.id.value(),
             static_cast<std::size_t>(settings.limits.eventBufferEvents))
    , callerMemory(CallerMemoryShares::create(settings.limits.memoryMb, metrics))
    , directory(
          settings.instance.region,
          [this](const WorkspaceId &workspace, const ModelSpec &model, std::uint64_t chatHash) {
              return moves ? moves->select(model, workspace, chatHash).version : model.serve;
          })
    , retryBudget({.minimumPerSecond = settings.limits.minRetriesPerSecond})
{ }

std::shared_ptr<const DesiredState> RouterContext::desiredState() const
{
    return config ? config->current() : nullptr;
}

std::optional<MemberInfo> RouterContext::member(const InstanceId &id) const
{
    if (!membership)
        return std::nullopt;
    const auto members = membership->membership().members();
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const MemberInfo &info) { return info.id == id; });
    if (found == members.end())
        return std::nullopt;
    return *found;
}

Result<Endpoint> RouterContext::rpcEndpoint(const InstanceId &id) const
{
    const auto info = member(id);
    if (!info || info->state == MemberState::Dead || info->state == MemberState::Left)
        return failure(ErrorKind::PeerUnreachable, "router " + id.value() + " is not live");
    return info->rpc;
}

InstanceId RouterContext::chosenRouter(std::string_view key) const
{
    const auto chosen = chooseRouters(key, membership->membership().liveRouters(), 1);
    return chosen.empty() ? self() : chosen.front();
}

bool RouterContext::domainOut(const DomainId &domain) const
{
    const auto state = desiredState();
    if (!state)
        return false;
    const auto found = state->domains.find(domain);
    return found != state->domains.end() && found->second.state == DomainState::Out;
}

void RouterContext::record(std::string kind, std::vector<EventField> fields)
{
    std::string text;
    for (const auto &field : fields)
        text += (text.empty() ? "" : " ") + field.name + '=' + field.value;
    logEvent(LogLevel::Info, kind, {{"detail", text}});
    events.record({.kind = std::move(kind), .fields = std::move(fields)});
}

} // namespace jy
