#pragma once

#include <cstdint>
#include <ostream>

namespace jy::bench {

/** Share of returning chats that reach an engine with their prefix while engines flap, restart and
 *  are replaced: ideal, plain rendezvous hashing, this project. */
void measureCacheReuse(std::ostream &out, std::uint64_t seed);

/** Highest over mean load for 9 and 18 engines with a surging workspace: plain rendezvous hashing,
 *  this project. */
void measureLoadSkew(std::ostream &out, std::uint64_t seed);

/** CPU time and bytes per owned server, displaced chat, pool server and workspace, each at three
 *  or more sizes, against plain containers. */
void measureCosts(std::ostream &out, std::uint64_t seed);

/** Requests in flight at one server while two routers believe they own it, with and without
 *  recovery, against the bound limit + max(1, limit / 4). */
void measureOwnershipOvershoot(std::ostream &out, std::uint64_t seed);

} // namespace jy::bench
