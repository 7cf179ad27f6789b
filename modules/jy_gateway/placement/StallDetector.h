#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace jy {

/**
 * Notices backend servers that have gone silent while their connections stay open.
 *
 * A server without power or behind a partition resets nothing, so that requests go on to it until
 * their time is up, and those that may run only once are lost. Each request in flight states how
 * long its server may send nothing. A server is stalled when one of its requests has waited for
 * longer than that and nothing else has come from the server meanwhile; its next byte ends that.
 * A server with more requests than slots lets the last ones wait, so only requests whose answer has
 * begun speak against it.
 * Instances tell each other, because each has only a few requests at a server.
 */
class StallDetector
{
public:
    using RequestKey = std::uint64_t;

    /** Whether a server has more requests in flight than it processes at once. */
    using IsFull = std::function<bool(const ServerId &)>;

    /** A report by another instance expires after this time unless it is renewed; two heartbeats of
     * a large fleet. */
    static constexpr std::chrono::milliseconds peerLifetime{1200};

    explicit StallDetector(IsFull isFull);

    /**
     * A request was sent.
     *
     * @param silenceTimeout time in which a server in good order sends something
     * @param onStall called by check() at most once, while the server is stalled; may be empty. It
     *        may not call begin() or end().
     */
    RequestKey begin(const ServerId &server, std::chrono::milliseconds silenceTimeout,
                     TimePoint now, std::function<void()> onStall = {});

    /** Something of the answer arrived; @p silenceTimeout counts from now. onStall is dropped. */
    void heard(const ServerId &server, RequestKey request, std::chrono::milliseconds silenceTimeout,
               TimePoint now);

    void end(const ServerId &server, RequestKey request);

    /** Whether the server should get no new requests while others can take them. */
    bool stalled(const ServerId &server, TimePoint now) const;

    /** Servers that are stalled by the requests of this instance. */
    std::vector<ServerId> ownStalled(TimePoint now) const;

    /** Replaces what another instance told. */
    void setPeerStalled(const InstanceId &instance, const std::vector<ServerId> &servers,
                        TimePoint now);

    /** Calls onStall of the requests at stalled servers and forgets what instances no longer tell.
     */
    void check(TimePoint now);

    /** Servers that other instances have told. */
    std::size_t told() const { return told_.size(); }

private:
    struct Request
    {
        std::chrono::milliseconds silenceTimeout{0};

        /** Since then the server owes this request something. */
        TimePoint since;
        bool begun = false;
        std::function<void()> onStall;
    };

    struct Server
    {
        std::map<RequestKey, Request> requests;

        /** When any of this instance's requests last heard the server. */
        TimePoint heard;
    };

    bool isStalled(const ServerId &id, const Server &server, TimePoint now) const;
    bool peerStalled(const ServerId &server, TimePoint now) const;

    IsFull isFull_;

    /** Servers with requests of this instance. */
    std::unordered_map<ServerId, Server> servers_;

    /** By server and the instance that told, with the time of its word. */
    std::unordered_map<ServerId, std::map<InstanceId, TimePoint>> told_;
    RequestKey nextKey_ = 1;
};

} // namespace jy
