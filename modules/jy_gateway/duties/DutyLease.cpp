#include "jy_gateway/duties/DutyLease.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace jy {

namespace {

const std::string holderKey(dutyHolderKey);
const std::string fenceKey(dutyFenceKey);

// Prefix of both keys.
const std::string dutyKeys = "duties/";

// More than the changes that a restore of the store can lose, so that the tokens of each era are
// above those of lost holders.
constexpr std::uint64_t tokensPerEra = 1 << 24;

std::optional<std::uint64_t> numberAt(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    if (!value || !value->is_int64() || value->get_int64() < 0)
        return std::nullopt;
    return static_cast<std::uint64_t>(value->get_int64());
}

} // namespace

std::string encodeHolder(const DutyHolder &holder)
{
    return boost::json::serialize(boost::json::object{{"instance", holder.instance.value()},
                                                      {"incarnation", holder.incarnation},
                                                      {"attempt", holder.attempt},
                                                      {"token_floor", holder.tokenFloor}});
}

std::optional<DutyHolder> decodeHolder(std::string_view text)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(text, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto *instance = object ? object->if_contains("instance") : nullptr;
    if (!instance || !instance->is_string())
        return std::nullopt;
    const auto incarnation = numberAt(*object, "incarnation");
    const auto attempt = numberAt(*object, "attempt");
    if (!incarnation || !attempt)
        return std::nullopt;
    return DutyHolder{InstanceId(std::string(instance->get_string())), *incarnation, *attempt,
                      numberAt(*object, "token_floor").value_or(0)};
}

std::string encodeFence(const DutyFence &fence)
{
    return boost::json::serialize(
        boost::json::object{{"era", fence.era}, {"token_floor", fence.tokenFloor}});
}

std::optional<DutyFence> decodeFence(std::string_view text)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(text, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto era = object ? numberAt(*object, "era") : std::nullopt;
    const auto tokenFloor = object ? numberAt(*object, "token_floor") : std::nullopt;
    if (!era || !tokenFloor)
        return std::nullopt;
    return DutyFence{*era, *tokenFloor};
}

DutyLease::DutyLease(const SharedStore &store, DutyHolder self, DutyLeaseSettings settings,
                     ClockHook clock, EraHook storeEra)
    : store_(store)
    , self_(std::move(self))
    , settings_(settings)
    , clock_(std::move(clock))
    , storeEra_(std::move(storeEra))
    , order_({.timeToLive = settings.lifetime,
              .guardInterval = settings.guard(),
              .longestOrder = settings.callTimeout(),
              .takeoverDelay = settings.lifetime + settings.guard()})
{ }

bool DutyLease::isOwn(const DutyHolder &holder) const
{
    return holder.instance == self_.instance && holder.incarnation == self_.incarnation;
}

std::uint64_t DutyLease::tokenFloorAfter(const DutyFence &fence, std::uint64_t fenceRevision,
                                         StoreEra era) const
{
    const auto restores = era > fence.era ? era - fence.era : 0;
    return std::max({fence.tokenFloor, fenceRevision, token_, highestToken_}) + 1
        + restores * tokensPerEra;
}

void DutyLease::noteEra()
{
    // 0 until the first response of the store.
    if (!firstEra_ && storeEra_() != 0)
        firstEra_ = storeEra_();
}

Result<void> DutyLease::acquire()
{
    if (unresolved_ && unresolved_->era == storeEra_())
        return resolve();
    unresolved_.reset();
    BOOST_OUTCOME_TRY(const auto page, store_.list(dutyKeys, {}));
    const auto era = storeEra_();
    if (page.era != era)
        return failure(ErrorKind::KvUnavailable, "the store was restored");
    std::uint64_t holderRevision = 0;
    std::uint64_t fenceRevision = 0;
    // Without a stored fence, holders since the first era that this process has seen may be lost.
    if (!firstEra_)
        firstEra_ = era;
    DutyFence fence{.era = *firstEra_};
    for (const auto &item : page.items) {
        if (item.key == holderKey) {
            const auto holder = decodeHolder(item.value);
            if (!holder || !isOwn(*holder))
                return failure(ErrorKind::KvConflict, "another instance is the holder");
            // Left from a lease that is lost.
            holderRevision = item.revision;
        } else if (item.key == fenceKey) {
            const auto read = decodeFence(item.value);
            if (!read)
                return failure(ErrorKind::Internal, "the stored fence is unreadable");
            fence = *read;
            fenceRevision = item.revision;
        }
    }
    const auto requestSent = clock_();
    BOOST_OUTCOME_TRY(const auto lease, store_.grantLease(settings_.lifetime));
    if (storeEra_() != era)
        return failure(ErrorKind::KvUnavailable, "the store was restored");
    lease_ = lease.id;
    ++self_.attempt;
    self_.tokenFloor = tokenFloorAfter(fence, fenceRevision, era);
    const auto revision =
        store_.commit({.conditions = {{holderKey, holderRevision}, {fenceKey, fenceRevision}},
                       .writes = {{fenceKey, encodeFence({era, self_.tokenFloor})},
                                  {holderKey, encodeHolder(self_), lease.id}}});
    if (storeEra_() != era)
        return failure(ErrorKind::KvOutcomeUnknown, "the store was restored during the write");
    if (!revision) {
        if (revision.error().kind == ErrorKind::KvOutcomeUnknown)
            unresolved_ = {requestSent, era};
        return revision.error();
    }
    granted(revision.value(), requestSent, era);
    return success();
}

Result<void> DutyLease::resolve()
{
    const auto [requestSent, era] = *unresolved_;
    BOOST_OUTCOME_TRY(const auto page, store_.list(holderKey, {}));
    if (storeEra_() != era || page.era != era) {
        unresolved_.reset();
        return failure(ErrorKind::KvUnavailable, "the store was restored");
    }
    for (const auto &item : page.items) {
        if (item.key != holderKey)
            continue;
        unresolved_.reset();
        if (decodeHolder(item.value) != self_)
            return failure(ErrorKind::KvConflict, "another instance is the holder");
        granted(item.revision, requestSent, era);
        return success();
    }
    // The write may still take effect until its lease has ended.
    if (clock_() > requestSent + 2 * settings_.lifetime)
        unresolved_.reset();
    return failure(ErrorKind::KvUnavailable, "the write of the holder has not taken effect");
}

void DutyLease::granted(std::uint64_t revision, TimePoint requestSent, StoreEra era)
{
    acquired_ = true;
    revision_ = revision;
    era_ = era;
    token_ = std::max(revision, self_.tokenFloor);
    soleUntil_ = requestSent + settings_.lifetime;
    order_.onGranted(token_, requestSent);
}

Result<void> DutyLease::renew()
{
    if (!inEra())
        return loseWithEra();
    const auto requestSent = clock_();
    if (!order_.renewalDue(requestSent))
        return success();
    auto renewed = store_.renewLease(lease_);
    // The right may have been given up while the call was on its way.
    if (!acquired_)
        return renewed;
    if (!inEra())
        return loseWithEra();
    if (renewed) {
        soleUntil_ = requestSent + settings_.lifetime;
        order_.onGranted(token_, requestSent);
    } else if (renewed.error().kind == ErrorKind::LeaseLost) {
        lose();
    }
    return renewed;
}

Result<void> DutyLease::loseWithEra()
{
    acquired_ = false;
    order_.onLost();
    return failure(ErrorKind::LeaseLost, "the store was restored");
}

void DutyLease::lose()
{
    acquired_ = false;
    soleUntil_.reset();
    order_.onLost();
}

Result<void> DutyLease::release()
{
    if (!acquired_)
        return success();
    lose();
    if (!inEra())
        return failure(ErrorKind::LeaseLost, "the store was restored");
    return store_.endLease(lease_);
}

std::optional<DutyCredential> DutyLease::credentialForCall() const
{
    const auto token = order_.tokenForOrder(settings_.fencingRequired, clock_());
    if (!token || !inEra())
        return std::nullopt;
    const auto stillValid = [this, token] {
        return inEra() && order_.tokenForOrder(settings_.fencingRequired, clock_()) == token;
    };
    return DutyCredential{self_.instance, *token, stillValid};
}

} // namespace jy
