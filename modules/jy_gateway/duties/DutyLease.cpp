#include "jy_gateway/duties/DutyLease.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace jy {

std::string encodeHolder(const DutyHolder &holder)
{
    return boost::json::serialize(boost::json::object{{"instance", holder.instance.value()},
                                                      {"incarnation", holder.incarnation},
                                                      {"attempt", holder.attempt}});
}

std::optional<DutyHolder> decodeHolder(std::string_view text)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(text, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto *instance = object ? object->if_contains("instance") : nullptr;
    const auto *incarnation = object ? object->if_contains("incarnation") : nullptr;
    const auto *attempt = object ? object->if_contains("attempt") : nullptr;
    if (!instance || !instance->is_string() || !incarnation || !incarnation->is_int64() || !attempt
        || !attempt->is_int64())
        return std::nullopt;
    return DutyHolder{InstanceId(std::string(instance->get_string())),
                      static_cast<std::uint64_t>(incarnation->get_int64()),
                      static_cast<std::uint64_t>(attempt->get_int64())};
}

DutyLease::DutyLease(const SharedStore &store, DutyHolder self, DutyLeaseSettings settings,
                     ClockHook clock)
    : store_(store)
    , self_(std::move(self))
    , settings_(settings)
    , clock_(std::move(clock))
    , order_({.timeToLive = settings.lifetime,
              .guardInterval = settings.guard(),
              .longestOrder = settings.callTimeout(),
              .takeoverDelay = settings.lifetime + settings.guard()})
{ }

Result<void> DutyLease::acquire()
{
    if (unresolvedSince_)
        return resolve();
    const auto requestSent = clock_();
    BOOST_OUTCOME_TRY(const auto lease, store_.grantLease(settings_.lifetime));
    lease_ = lease.id;
    ++self_.attempt;
    const auto revision =
        store_.commit({.conditions = {{std::string(dutyHolderKey), 0}},
                       .writes = {{std::string(dutyHolderKey), encodeHolder(self_), lease.id}}});
    if (!revision) {
        if (revision.error().kind == ErrorKind::KvOutcomeUnknown)
            unresolvedSince_ = requestSent;
        return revision.error();
    }
    granted(revision.value(), requestSent);
    return success();
}

Result<void> DutyLease::resolve()
{
    BOOST_OUTCOME_TRY(const auto page, store_.list(std::string(dutyHolderKey), {}));
    const auto requestSent = *unresolvedSince_;
    for (const auto &item : page.items) {
        if (item.key != dutyHolderKey)
            continue;
        unresolvedSince_.reset();
        if (decodeHolder(item.value) != self_)
            return failure(ErrorKind::KvConflict, "another instance is the holder");
        granted(item.revision, requestSent);
        return success();
    }
    // The write may still take effect until its lease has ended.
    if (clock_() > requestSent + 2 * settings_.lifetime)
        unresolvedSince_.reset();
    return failure(ErrorKind::KvUnavailable, "the write of the holder has not taken effect");
}

void DutyLease::granted(std::uint64_t revision, TimePoint requestSent)
{
    acquired_ = true;
    token_ = revision;
    order_.onGranted(revision, requestSent);
}

Result<void> DutyLease::renew()
{
    const auto requestSent = clock_();
    if (!order_.renewalDue(requestSent))
        return success();
    auto renewed = store_.renewLease(lease_);
    // The right may have been given up while the call was on its way.
    if (!acquired_)
        return renewed;
    if (renewed)
        order_.onGranted(token_, requestSent);
    else if (renewed.error().kind == ErrorKind::LeaseLost)
        lose();
    return renewed;
}

void DutyLease::lose()
{
    acquired_ = false;
    order_.onLost();
}

Result<void> DutyLease::release()
{
    if (!acquired_)
        return success();
    lose();
    return store_.endLease(lease_);
}

std::optional<DutyCredential> DutyLease::credentialForCall() const
{
    const auto token = order_.tokenForOrder(settings_.fencingRequired, clock_());
    if (!token)
        return std::nullopt;
    const auto stillValid = [this, token] {
        return order_.tokenForOrder(settings_.fencingRequired, clock_()) == token;
    };
    return DutyCredential{self_.instance, *token, stillValid};
}

} // namespace jy
