#include "jy_core/config/ConfigParts.h"

#include "jy_base/hashing/StableHash.h"
#include "jy_core/config/DesiredStateReader.h"
#include "jy_core/config/DesiredStateWriter.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/evp.h>

#include <array>
#include <set>

namespace jy {

namespace {

namespace json = boost::json;

constexpr std::size_t workspaceParts = 64;
constexpr std::string_view workspacePrefix = "workspaces-";
constexpr std::size_t hashBytes = 16;

// Seed of the hash that assigns workspaces to parts. Changing it would move every workspace to
// another part.
constexpr std::uint64_t workspacePartSeed = 0x636f6e666967;

using SectionReader = void (*)(const json::value &, JsonReadContext &, DesiredState &);

SectionReader readerOf(std::string_view part)
{
    if (part == "global")
        return readGlobal;
    if (part == "domains")
        return readDomains;
    if (part == "models")
        return readModels;
    if (part == "services")
        return readServices;
    return part.starts_with(workspacePrefix) ? readWorkspaces : nullptr;
}

void clearPart(std::string_view part, DesiredState &state)
{
    if (part == "global")
        state.global = {};
    else if (part == "domains")
        state.domains.clear();
    else if (part == "models")
        state.models.clear();
    else if (part == "services")
        state.services.clear();
    else
        std::erase_if(state.workspaces,
                      [part](const auto &entry) { return workspacePartName(entry.first) == part; });
}

// Adds the part from a previous snapshot. @returns whether the snapshot has it
bool reusePart(ConfigContents &parts, const std::string &name, const ConfigSnapshot &previous)
{
    const auto found = previous.parts.find(name);
    if (found != previous.parts.end())
        parts.insert(*found);
    return found != previous.parts.end();
}

template <class Entries>
void addPart(ConfigContents &parts, const std::string &name, Entries DesiredState::*section,
             const DesiredState &state, const ConfigSnapshot *previous)
{
    const auto &entries = state.*section;
    if (previous && previous->state.get()->*section == entries && reusePart(parts, name, *previous))
        return;
    const json::object object = toJson(entries);
    if (!object.empty())
        parts.emplace(name, std::make_shared<const std::string>(json::serialize(object)));
}

const std::string *find(const std::map<std::string, std::string> &map, const std::string &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

// Whether a part has the same hash in the previous snapshot.
bool isUnchanged(const ConfigSnapshot *previous, const std::string &name, const std::string &hash)
{
    if (!previous)
        return false;
    const auto *held = find(previous->head.parts, name);
    return held && *held == hash;
}

// Names of the workspace parts of a snapshot whose workspaces are all equal in a state.
std::set<std::string> equalWorkspaceParts(const DesiredState &state, const ConfigSnapshot &previous)
{
    std::set<std::string> equal;
    for (const auto &[name, content] : previous.parts) {
        if (name.starts_with(workspacePrefix))
            equal.insert(name);
    }
    const auto exclude = [&](const DesiredState &left, const DesiredState &right) {
        auto other = right.workspaces.begin();
        for (const auto &[id, workspace] : left.workspaces) {
            while (other != right.workspaces.end() && other->first < id)
                ++other;
            if (other == right.workspaces.end() || other->second != workspace)
                equal.erase(workspacePartName(id));
        }
    };
    exclude(state, *previous.state);
    exclude(*previous.state, state);
    return equal;
}

Result<void> readPart(const std::string &name, const std::string &content, DesiredState &state)
{
    // An unknown part was written by a newer release and is ignored.
    const auto reader = readerOf(name);
    if (!reader)
        return success();
    const auto value = parseConfigJson(content);
    if (!value)
        return failure(ErrorKind::ConfigInvalid, "part " + name + ": " + value.error().message);
    JsonReadContext context{UnknownKeys::Ignore, {}};
    reader(value.value(), context, state);
    if (!context.issues.empty())
        return boost::outcome_v2::failure(toError(context.issues));
    return success();
}

} // namespace

std::string configPartKey(std::string_view hash)
{
    return "jy/config/part/" + std::string(hash);
}

Result<ConfigHead> parseConfigHead(std::string_view text)
{
    const auto root = parseConfigJson(text);
    if (!root)
        return failure(ErrorKind::ConfigInvalid, "head: " + root.error().message);
    ConfigHead head;
    JsonReadContext context{UnknownKeys::Ignore, {}};
    JsonFields fields(root.value(), "head", context);
    fields.required("revision").required("requestId").required("parts");
    fields.count("revision", head.revision)
        .text("requestId", head.requestId)
        .text("author", head.author)
        .map("parts",
             [&](const auto &name, const auto &value, const auto &path) {
                 if (value.is_string())
                     head.parts.emplace(name, value.get_string().c_str());
                 else
                     context.add(path, &value, "a content hash");
             })
        .array("recent", [&](const auto &, const auto &value, const auto &path) {
            AppliedRequest request;
            JsonFields(value, path, context)
                .count("revision", request.revision)
                .text("requestId", request.requestId)
                .finish();
            head.recent.push_back(std::move(request));
        });
    if (!context.issues.empty())
        return boost::outcome_v2::failure(toError(context.issues));
    return head;
}

std::string toText(const ConfigHead &head)
{
    json::object parts;
    for (const auto &[name, hash] : head.parts)
        parts.emplace(name, hash);
    json::array recent;
    for (const auto &request : head.recent)
        recent.push_back(
            json::object{{"revision", request.revision}, {"requestId", request.requestId}});
    return json::serialize(json::object{{"revision", head.revision},
                                        {"requestId", head.requestId},
                                        {"author", head.author},
                                        {"parts", std::move(parts)},
                                        {"recent", std::move(recent)}});
}

std::uint64_t revisionOfRequest(const ConfigHead &head, std::string_view requestId)
{
    if (head.requestId == requestId)
        return head.revision;
    for (const auto &request : head.recent) {
        if (request.requestId == requestId)
            return request.revision;
    }
    return 0;
}

std::string contentHash(std::string_view content)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(content.data(), content.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string text;
    text.reserve(2 * hashBytes);
    for (std::size_t i = 0; i < hashBytes; ++i) {
        constexpr std::string_view digits = "0123456789abcdef";
        text += digits[digest[i] >> 4];
        text += digits[digest[i] & 0xf];
    }
    return text;
}

std::string workspacePartName(const WorkspaceId &workspace)
{
    const auto part = stableHash(workspace.value(), workspacePartSeed) % workspaceParts;
    std::string name(workspacePrefix);
    name += static_cast<char>('0' + part / 10);
    name += static_cast<char>('0' + part % 10);
    return name;
}

ConfigContents splitDesiredState(const DesiredState &state, const ConfigSnapshot *previous)
{
    ConfigContents parts;
    addPart(parts, "global", &DesiredState::global, state, previous);
    addPart(parts, "domains", &DesiredState::domains, state, previous);
    addPart(parts, "models", &DesiredState::models, state, previous);
    addPart(parts, "services", &DesiredState::services, state, previous);
    const auto reused = previous ? equalWorkspaceParts(state, *previous) : std::set<std::string>();
    for (const auto &name : reused)
        reusePart(parts, name, *previous);
    std::map<std::string, json::object> workspaces;
    for (const auto &[id, workspace] : state.workspaces) {
        auto name = workspacePartName(id);
        if (!reused.contains(name))
            workspaces[std::move(name)].emplace(id.value(), toJson(workspace));
    }
    for (const auto &[name, object] : workspaces)
        parts.emplace(name, std::make_shared<const std::string>(json::serialize(object)));
    return parts;
}

MissingParts missingParts(const ConfigHead &head, const ConfigContents &byHash,
                          const ConfigSnapshot *previous)
{
    MissingParts missing;
    for (const auto &[name, hash] : head.parts) {
        if (!byHash.contains(hash) && !isUnchanged(previous, name, hash))
            missing.emplace(name, hash);
    }
    return missing;
}

Result<std::shared_ptr<const ConfigSnapshot>> assembleSnapshot(std::string_view headText,
                                                               const ConfigContents &byHash,
                                                               const ConfigSnapshot *previous)
{
    auto head = parseConfigHead(headText);
    if (!head)
        return boost::outcome_v2::failure(head.error());
    auto snapshot = std::make_shared<ConfigSnapshot>();
    snapshot->head = std::move(head).value();
    snapshot->headText = headText;
    auto state = previous ? std::make_shared<DesiredState>(*previous->state)
                          : std::make_shared<DesiredState>();
    if (previous) {
        for (const auto &[name, hash] : previous->head.parts) {
            const auto *now = find(snapshot->head.parts, name);
            if (!now || *now != hash)
                clearPart(name, *state);
        }
    }
    for (const auto &[name, hash] : snapshot->head.parts) {
        if (isUnchanged(previous, name, hash)) {
            snapshot->parts.emplace(name, previous->parts.at(name));
            continue;
        }
        const auto found = byHash.find(hash);
        if (found == byHash.end())
            return failure(ErrorKind::ConfigInvalid, "part " + name + " is missing");
        if (const auto result = readPart(name, *found->second, *state); !result)
            return boost::outcome_v2::failure(result.error());
        snapshot->parts.emplace(name, found->second);
    }
    state->revision = snapshot->head.revision;
    snapshot->state = std::move(state);
    return std::shared_ptr<const ConfigSnapshot>(std::move(snapshot));
}

} // namespace jy
