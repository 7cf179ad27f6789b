#pragma once

#include "jy_base/errors/Error.h"
#include "jy_core/model/DesiredState.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jy {

/** Key of the head document in the KV service. */
constexpr std::string_view configHeadKey = "jy/config/head";

/** Key of the part with the given content hash in the KV service. */
std::string configPartKey(std::string_view hash);

/** A revision and the request that created it. */
struct AppliedRequest
{
    std::uint64_t revision = 0;
    std::string requestId;

    bool operator==(const AppliedRequest &) const = default;
};

/** The head document of one revision, which refers to its parts by content hash. */
struct ConfigHead
{
    std::uint64_t revision = 0;
    std::string requestId;
    std::string author;

    /** Part name to content hash. A section without entries has no part. */
    std::map<std::string, std::string> parts;

    /**
     * Earlier revisions, newest first. A writer that lost the response to its swap finds its
     * request here if another apply has already replaced the head.
     */
    std::vector<AppliedRequest> recent;

    bool operator==(const ConfigHead &) const = default;
};

/** Number of earlier requests that a head keeps; at 780 changes a day these span half an hour. */
constexpr std::size_t recentRequestCount = 16;

Result<ConfigHead> parseConfigHead(std::string_view text);
std::string toText(const ConfigHead &head);

/** The revision that a request created; 0 if the head does not list the request. */
std::uint64_t revisionOfRequest(const ConfigHead &head, std::string_view requestId);

/**
 * Returns the first 128 bits of SHA-256 as 32 hexadecimal digits.
 *
 * Parts are identified by their hash and never compared byte by byte, so the hash must resist
 * deliberate collisions, which XXH3 does not. Compared with the full digest, 128 bits halve the
 * size of the head.
 */
std::string contentHash(std::string_view content);

/** Content of parts by name or by hash; shared between snapshots. */
using ConfigContents = std::map<std::string, std::shared_ptr<const std::string>>;

/** Name of the part that contains a workspace: "workspaces-00" to "workspaces-63". */
std::string workspacePartName(const WorkspaceId &workspace);

/** One complete revision: its head, the content of its parts and the state they describe. */
struct ConfigSnapshot
{
    ConfigHead head;

    /** The head as received, so that peers pass on the same bytes. */
    std::string headText;

    /** By part name. */
    ConfigContents parts;

    std::shared_ptr<const DesiredState> state;
};

/**
 * Splits a state into parts, by part name.
 *
 * @param previous a snapshot whose parts are reused where the entries are equal, or null. Writing
 *                 all parts of 9,000 workspaces takes 28 ms, and a change usually concerns one.
 */
ConfigContents splitDesiredState(const DesiredState &state,
                                 const ConfigSnapshot *previous = nullptr);

/** Parts that are needed to complete a revision: name to content hash. */
using MissingParts = std::map<std::string, std::string>;

/**
 * Returns the parts of @p head that are neither in @p byHash nor, with the same hash, in
 * @p previous.
 */
MissingParts missingParts(const ConfigHead &head, const ConfigContents &byHash,
                          const ConfigSnapshot *previous);

/**
 * Assembles a revision. Parses only the parts that differ from @p previous. Ignores unknown keys,
 * because a router of a newer release may have written the parts.
 *
 * @param byHash contents by content hash; with @p previous they must cover all parts
 * @returns ConfigInvalid when a part does not parse
 */
Result<std::shared_ptr<const ConfigSnapshot>> assembleSnapshot(std::string_view headText,
                                                               const ConfigContents &byHash,
                                                               const ConfigSnapshot *previous);

} // namespace jy
