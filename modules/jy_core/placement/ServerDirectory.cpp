#include "jy_core/placement/ServerDirectory.h"

#include "jy_base/hashing/StableHash.h"
#include "jy_core/placement/DomainRamp.h"

#include <algorithm>

namespace jy {

ServerDirectory::ServerDirectory(RegionId region, VersionHook versionHook)
    : region_(std::move(region))
    , versionHook_(std::move(versionHook))
    , state_(std::make_shared<DesiredState>())
{ }

void ServerDirectory::applyInstanceList(std::vector<BackendServer> servers)
{
    std::unordered_map<ServerId, Entry> entries;
    for (auto &server : servers) {
        Entry entry;
        const auto known = entries_.find(server.id);
        if (known != entries_.end())
            entry = known->second;
        const ServerId id = server.id;
        entry.server = std::move(server);
        entries.insert_or_assign(id, std::move(entry));
    }
    entries_ = std::move(entries);
    enginePools_.clear();
    servicePools_.clear();
    for (const auto &[id, entry] : entries_) {
        if (entry.server.kind == ServerKind::Engine)
            enginePools_[{entry.server.model, entry.server.version}].push_back(&entry);
        else
            servicePools_[entry.server.service].push_back(&entry);
    }
}

void ServerDirectory::applyDesiredState(std::shared_ptr<const DesiredState> state)
{
    state_ = std::move(state);
}

void ServerDirectory::setHealth(const ServerId &server, ServerHealth health, TimePoint now,
                                Duration validFor)
{
    const auto found = entries_.find(server);
    if (found == entries_.end())
        return;
    found->second.health = health;
    found->second.downUntil = validFor == Duration::max() ? TimePoint::max() : now + validFor;
}

ServerHealth ServerDirectory::health(const ServerId &server, TimePoint now) const
{
    const auto found = entries_.find(server);
    if (found == entries_.end())
        return ServerHealth::Unknown;
    const Entry &entry = found->second;
    if (entry.health == ServerHealth::Down && now >= entry.downUntil)
        return ServerHealth::Unknown;
    return entry.health;
}

VersionId ServerDirectory::versionFor(const CandidateQuery &query, const ModelSpec &model) const
{
    if (query.version)
        return *query.version;
    VersionId chosen;
    if (versionHook_)
        chosen = versionHook_(query.workspace, model, query.chatHash);
    return chosen.empty() ? model.serve : chosen;
}

Result<std::vector<ServerId>> ServerDirectory::candidates(const CandidateQuery &query,
                                                          TimePoint now, WallTime wallNow) const
{
    const auto model = state_->models.find(query.model);
    if (model == state_->models.end())
        return failure(ErrorKind::UnknownModel, "no model " + query.model.value());
    const auto workspace = state_->workspaces.find(query.workspace);
    if (workspace == state_->workspaces.end())
        return failure(ErrorKind::UnknownWorkspace, "no workspace " + query.workspace.value());
    const auto &allowed = workspace->second.models;
    if (std::find(allowed.begin(), allowed.end(), query.model) == allowed.end()) {
        return failure(ErrorKind::UnknownWorkspace,
                       "workspace " + query.workspace.value() + " may not use model "
                           + query.model.value());
    }
    const VersionId version = versionFor(query, model->second);
    const auto pool = enginePools_.find({query.model, version});
    std::vector<ServerId> ranked;
    if (pool != enginePools_.end())
        ranked = rank(pool->second, query.chatHash, query.maxCount, now, wallNow);
    if (ranked.empty()) {
        return failure(ErrorKind::NoCapacity,
                       "no server in service for model " + query.model.value() + " version "
                           + version.value());
    }
    return ranked;
}

Result<std::vector<ServerId>>
ServerDirectory::serviceCandidates(const ServiceId &service, std::uint64_t keyHash,
                                   std::size_t maxCount, TimePoint now, WallTime wallNow) const
{
    if (!state_->services.contains(service))
        return failure(ErrorKind::UnknownService, "no service " + service.value());
    const auto pool = servicePools_.find(service);
    std::vector<ServerId> ranked;
    if (pool != servicePools_.end())
        ranked = rank(pool->second, keyHash, maxCount, now, wallNow);
    if (ranked.empty()) {
        return failure(ErrorKind::NoCapacity,
                       "no server in service for service " + service.value());
    }
    return ranked;
}

std::vector<ServerId> ServerDirectory::rank(const Pool &pool, std::uint64_t keyHash,
                                            std::size_t maxCount, TimePoint now,
                                            WallTime wallNow) const
{
    std::vector<std::pair<std::uint64_t, const Entry *>> sameRegion;
    std::vector<std::pair<std::uint64_t, const Entry *>> otherRegions;
    sameRegion.reserve(pool.size());
    for (const Entry *entry : pool) {
        if (refusal(*entry, keyHash, now, wallNow))
            continue;
        auto &list = entry->server.region == region_ ? sameRegion : otherRegions;
        list.emplace_back(rendezvousScore(keyHash, entry->server.id.value()), entry);
    }
    auto &scored = sameRegion.empty() ? otherRegions : sameRegion;
    const auto count = std::min(maxCount, scored.size());
    // Ties are broken by id so that all routers agree on the order.
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count),
                      scored.end(), [](const auto &a, const auto &b) {
                          return a.first != b.first ? a.first > b.first
                                                    : a.second->server.id < b.second->server.id;
                      });
    std::vector<ServerId> ranked;
    ranked.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        ranked.push_back(scored[i].second->server.id);
    return ranked;
}

std::optional<ErrorKind> ServerDirectory::refusal(const Entry &entry, std::uint64_t chatHash,
                                                  TimePoint now, WallTime wallNow) const
{
    if (entry.server.leaving)
        return ErrorKind::ServerLeaving;
    const auto domain = state_->domains.find(entry.server.domain);
    // A domain that is missing from the desired state has not been put in service.
    if (domain == state_->domains.end()
        || !domainAdmits(domain->second, state_->global.returnRamp, chatHash, wallNow))
        return ErrorKind::DomainOut;
    if (entry.health == ServerHealth::Down && now < entry.downUntil)
        return ErrorKind::ConnectFailed;
    return std::nullopt;
}

std::optional<ErrorKind> ServerDirectory::refusal(const ServerId &server, std::uint64_t chatHash,
                                                  TimePoint now, WallTime wallNow) const
{
    const auto found = entries_.find(server);
    if (found == entries_.end())
        return ErrorKind::UnknownTarget;
    return refusal(found->second, chatHash, now, wallNow);
}

const BackendServer *ServerDirectory::find(const ServerId &server) const
{
    const auto found = entries_.find(server);
    return found == entries_.end() ? nullptr : &found->second.server;
}

std::vector<const BackendServer *> ServerDirectory::servers() const
{
    std::vector<const BackendServer *> result;
    result.reserve(entries_.size());
    for (const auto &[id, entry] : entries_)
        result.push_back(&entry.server);
    std::sort(result.begin(), result.end(),
              [](const auto *a, const auto *b) { return a->id < b->id; });
    return result;
}

std::string poolName(const BackendServer &server)
{
    const auto &name =
        server.kind == ServerKind::Engine ? server.model.value() : server.service.value();
    return name + '@' + server.region.value();
}

} // namespace jy
