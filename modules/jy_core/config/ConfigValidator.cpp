#include "jy_core/config/ConfigValidator.h"

#include "jy_core/config/WallTimeText.h"

#include <algorithm>
#include <set>

namespace jy {

namespace {

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

template <class IdType, class Spec>
std::string keysOf(const std::map<IdType, Spec> &entries)
{
    constexpr std::size_t mostShown = 10;
    std::string text = "one of";
    std::size_t shown = 0;
    for (const auto &[id, spec] : entries) {
        if (shown++ == mostShown)
            return text + " and " + std::to_string(entries.size() - mostShown) + " more";
        text += ' ' + id.value();
    }
    return entries.empty() ? "none, because the file lists no entry" : text;
}

class Checker
{
public:
    Checker(const DesiredState &state, WallTime now, const DesiredState *inForce)
        : state_(state)
        , now_(now)
        , inForce_(inForce)
    { }

    ConfigIssues run()
    {
        checkDomains();
        for (const auto &[id, model] : state_.models)
            checkModel(model);
        for (const auto &[id, workspace] : state_.workspaces)
            checkWorkspace(workspace);
        return std::move(issues_);
    }

private:
    void add(const std::string &path, std::string value, std::string allowed)
    {
        issues_.push_back({path, std::move(value), std::move(allowed)});
    }

    void checkDomains()
    {
        const auto isOut = [](const auto &entry) { return entry.second.state == DomainState::Out; };
        if (!state_.domains.empty()
            && std::all_of(state_.domains.begin(), state_.domains.end(), isOut))
            add("domains", "every state \"out\"", "at least one in-service or returning");
    }

    void checkModel(const ModelSpec &model)
    {
        const auto path = "models." + model.id.value();
        checkVersion(model, path + ".serve", model.serve);
        for (const auto &move : model.moves)
            checkMove(model, move, path + ".moves." + move.id.value());
    }

    void checkVersion(const ModelSpec &model, const std::string &path, const VersionId &version)
    {
        const auto &known = model.versions;
        if (std::find(known.begin(), known.end(), version) != known.end())
            return;
        std::string allowed = "a listed version:";
        for (const auto &name : known)
            allowed += ' ' + name.value();
        add(path, quoted(version.value()), allowed);
    }

    void checkMove(const ModelSpec &model, const MoveSpec &move, const std::string &path)
    {
        if (!moveIds_.insert(move.id).second)
            add(path, quoted(move.id.value()), "a move id that no other model uses");
        checkVersion(model, path + ".to", move.to);
        if (move.from != model.serve)
            add(path + ".from", quoted(move.from.value()),
                "the version that serves, " + quoted(model.serve.value()));
        if (move.from == move.to)
            add(path + ".to", quoted(move.to.value()), "another version than \"from\"");
        if (move.finishBy <= now_ && !isInForce(model.id, move))
            add(path + ".finishBy", quoted(wallTimeText(move.finishBy)),
                "a time after " + wallTimeText(now_));
        if (move.workspace)
            checkMoveWorkspace(model, *move.workspace, path + ".workspace");
        checkConflictingMoves(model, move, path);
    }

    void checkMoveWorkspace(const ModelSpec &model, const WorkspaceId &id, const std::string &path)
    {
        const auto found = state_.workspaces.find(id);
        if (found == state_.workspaces.end()) {
            add(path, quoted(id.value()), keysOf(state_.workspaces));
            return;
        }
        const auto &models = found->second.models;
        if (std::find(models.begin(), models.end(), model.id) == models.end())
            add(path, quoted(id.value()), "a workspace that uses model " + model.id.value());
    }

    // Of two conflicting moves, reports the one that comes later in the list.
    void checkConflictingMoves(const ModelSpec &model, const MoveSpec &move,
                               const std::string &path)
    {
        for (const auto &other : model.moves) {
            if (&other == &move)
                return;
            if (other.workspace == move.workspace)
                add(path, quoted(move.id.value()),
                    "one move per model and workspace; " + quoted(other.id.value())
                        + " covers the same chats");
            else if ((!other.workspace || !move.workspace) && other.to != move.to)
                add(path + ".to", quoted(move.to.value()),
                    quoted(other.to.value()) + ", the target of move " + quoted(other.id.value())
                        + ", which covers some of the same chats");
        }
    }

    bool isInForce(const ModelId &model, const MoveSpec &move) const
    {
        if (!inForce_)
            return false;
        const auto found = inForce_->models.find(model);
        if (found == inForce_->models.end())
            return false;
        const auto &moves = found->second.moves;
        return std::find(moves.begin(), moves.end(), move) != moves.end();
    }

    void checkWorkspace(const WorkspaceSpec &workspace)
    {
        const auto path = "workspaces." + workspace.id.value();
        checkReferences(workspace.models, state_.models, path + ".models");
        checkReferences(workspace.services, state_.services, path + ".services");
    }

    template <class IdType, class Spec>
    void checkReferences(const std::vector<IdType> &ids, const std::map<IdType, Spec> &entries,
                         const std::string &path)
    {
        for (std::size_t i = 0; i < ids.size(); ++i) {
            if (!entries.contains(ids[i]))
                add(path + '[' + std::to_string(i) + ']', quoted(ids[i].value()), keysOf(entries));
        }
    }

    const DesiredState &state_;
    WallTime now_;
    const DesiredState *inForce_;
    std::set<MoveId> moveIds_;
    ConfigIssues issues_;
};

} // namespace

ConfigIssues validateDesiredState(const DesiredState &state, WallTime now,
                                  const DesiredState *inForce)
{
    return Checker(state, now, inForce).run();
}

void completeReturnStarts(DesiredState &state, WallTime now, const DesiredState *inForce)
{
    for (auto &[id, domain] : state.domains) {
        if (domain.state != DomainState::Returning || domain.returnStart != WallTime{})
            continue;
        domain.returnStart = std::chrono::floor<std::chrono::milliseconds>(now);
        if (!inForce)
            continue;
        const auto found = inForce->domains.find(id);
        if (found != inForce->domains.end() && found->second.state == DomainState::Returning)
            domain.returnStart = found->second.returnStart;
    }
}

} // namespace jy
