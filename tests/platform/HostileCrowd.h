#pragma once

#include "common/ChildProcess.h"
#include "jy_base/net/Endpoint.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace jy::platform::test {

/** Connections of a hostile crowd; JY_HOSTILE_CONNECTIONS in the environment replaces it. */
int crowdSize();

/**
 * Memory of the machine of a process under test, and bound of its resident memory, in MB;
 * JY_HOSTILE_MEMORY_MB in the environment replaces it.
 */
int memoryMb();

/** What each connection of a hostile crowd does. */
struct HostileBehaviour
{
    const char *name;

    /** Everything that a connection sends. @param path with a question mark at its end or in it */
    std::string (*bytes)(const std::string &path);

    /** Longest write. Parsers that begin before a head is complete keep what they have parsed. */
    std::size_t pieceBytes;

    /** Longest read in each round; 0: the connection reads nothing. */
    std::size_t readBytes = 0;

    /** Pause between two rounds, in each of which every connection writes and reads once. */
    std::chrono::milliseconds pause{2};

    /** Longest time of send(). */
    std::chrono::milliseconds longestSending{20000};
};

/** All behaviours: bodies, chunks, heads, pipelined requests, slow senders and slow readers. */
const std::vector<HostileBehaviour> &hostileBehaviours();

/** @returns the behaviour of that name. */
const HostileBehaviour &hostileBehaviour(std::string_view name);

/** A complete request with a body of that size. @param fields of its head, without framing */
std::string requestWithBody(const std::string &path, std::size_t bodyBytes,
                            const std::string &fields = "Host: h");

/** A complete request whose body comes in chunks of that size. @param fields as above */
std::string requestInChunks(const std::string &path, std::size_t bodyBytes, std::size_t chunkBytes,
                            const std::string &fields = "Host: h");

/** Connections of the test process to a process under test. */
class HostileCrowd
{
public:
    HostileCrowd(EventLoop &loop, const HostileBehaviour &behaviour)
        : loop_(loop)
        , behaviour_(behaviour)
    { }

    void connect(const Endpoint &address, const std::string &bytes);

    /**
     * Sends until all is sent or the process has accepted nothing for a second, at most for
     * HostileBehaviour::longestSending.
     */
    void send();

    /** Waits until the process has sent bytes or an end on each connection, at most @p longest. */
    void awaitAnswers(std::chrono::milliseconds longest);

private:
    struct Member
    {
        boost::asio::ip::tcp::socket socket;
        std::string bytes;
        std::size_t sent = 0;
    };

    /** Writes and reads once on each connection. @returns whether bytes are left to send */
    bool sendSome(std::chrono::steady_clock::time_point &lastProgress);

    EventLoop &loop_;
    const HostileBehaviour &behaviour_;
    std::deque<Member> members_;
};

/** Memory and descriptors of a process. */
class ProcessUsage
{
public:
    explicit ProcessUsage(const bench::ChildProcess &process)
        : folder_("/proc/" + std::to_string(process.pid()) + '/')
    { }

    /** Largest resident memory so far. */
    double peakMb() const { return statusMb("VmHWM:"); }

    double residentMb() const { return statusMb("VmRSS:"); }

    std::ptrdiff_t openDescriptors() const;

private:
    double statusMb(std::string_view field) const;

    std::string folder_;
};

} // namespace jy::platform::test
