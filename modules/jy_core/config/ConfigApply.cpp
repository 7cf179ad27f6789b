#include "jy_core/config/ConfigApply.h"

#include "jy_core/config/ConfigValidator.h"
#include "jy_core/config/DesiredStateReader.h"

#include <algorithm>

namespace jy {

namespace {

// The desired state before the first apply.
const DesiredState emptyState;

const DesiredState &stateOf(const std::shared_ptr<const ConfigSnapshot> &snapshot)
{
    return snapshot ? *snapshot->state : emptyState;
}

} // namespace

Result<ConfigApply> ConfigApply::create(const ConfigApplySettings &settings,
                                        ConfigApplyRequest request,
                                        std::shared_ptr<const ConfigSnapshot> local,
                                        WallTime wallNow, TimePoint now)
{
    ConfigApply apply;
    auto issues = readDesiredState(request.text, apply.submitted_);
    const auto fileRevision = apply.submitted_.revision;
    if (fileRevision != 0) {
        if (request.baseRevision && *request.baseRevision != fileRevision)
            issues.push_back(
                {"revision", std::to_string(fileRevision),
                 "the base revision of the request, " + std::to_string(*request.baseRevision)});
        request.baseRevision = fileRevision;
    }
    if (request.requestId.empty())
        issues.push_back({"request id", "", "an id that is unique for each request"});
    if (!issues.empty()) {
        // Also checks references between entries, so that the report is complete.
        const auto more =
            validateDesiredState(apply.submitted_, wallNow, local ? local->state.get() : nullptr);
        issues.insert(issues.end(), more.begin(), more.end());
        return boost::outcome_v2::failure(toError(issues));
    }
    apply.settings_ = settings;
    apply.request_ = std::move(request);
    apply.local_ = std::move(local);
    apply.wallNow_ = wallNow;
    apply.deadline_ = now + settings.timeout;
    return apply;
}

ConfigApply::Action ConfigApply::start()
{
    return act();
}

// Returns the call of the current phase, for the first attempt and for repetitions.
ConfigApply::Action ConfigApply::act() const
{
    switch (phase_) {
    case Phase::ReadHead:
    case Phase::ReadHeadAgain:
        return ReadKey{std::string(configHeadKey)};
    case Phase::ReadPart:
        return ReadKey{configPartKey(missing_.begin()->second)};
    case Phase::WritePart:
        return SwapKey{configPartKey(toWrite_.back().first), *toWrite_.back().second, 0};
    case Phase::SwapHead:
        return SwapKey{std::string(configHeadKey), newHeadText_, base_.index};
    }
    return ReadKey{std::string(configHeadKey)};
}

ConfigApply::Action ConfigApply::onPauseEnded()
{
    return act();
}

ConfigApply::Action ConfigApply::finish(Result<ConfigApplied> result) const
{
    return Finished{std::move(result)};
}

ConfigApply::Action ConfigApply::fail(ErrorKind kind, std::string message) const
{
    return finish(failure(kind, std::move(message)));
}

ConfigApply::Action ConfigApply::retry(const Error &error, TimePoint now)
{
    if (now + settings_.retryPause < deadline_)
        return Pause{settings_.retryPause};
    if (conflicted_)
        return fail(ErrorKind::ConfigConflict,
                    "revision " + std::to_string(baseHead_.revision) + " by " + baseHead_.author
                        + " was applied first; its content could not be read: " + error.message);
    if (mayBeApplied_)
        return fail(ErrorKind::KvOutcomeUnknown,
                    "the response to the write was lost and the head could not be read again; "
                    "repeat with request id "
                        + request_.requestId + ": " + error.message);
    return fail(ErrorKind::KvUnavailable, "not applied: " + error.message);
}

ConfigApply::Action ConfigApply::onRead(Result<std::optional<KvValue>> result, TimePoint now)
{
    if (!result)
        return retry(result.error(), now);
    if (phase_ == Phase::ReadHead)
        return onHead(std::move(result).value());
    if (phase_ == Phase::ReadHeadAgain)
        return onHeadAgain(result.value());
    if (!result.value())
        return retry({ErrorKind::KvUnavailable, "part " + missing_.begin()->first + " is missing"},
                     now);
    received_.insert_or_assign(
        missing_.begin()->second,
        std::make_shared<const std::string>(std::move(result.value()->value)));
    return collectParts();
}

ConfigApply::Action ConfigApply::onHead(std::optional<KvValue> head)
{
    base_ = head ? std::move(*head) : KvValue{};
    baseHead_ = {};
    if (base_.index != 0) {
        auto parsed = parseConfigHead(base_.value);
        if (!parsed)
            return fail(ErrorKind::Internal, parsed.error().message);
        baseHead_ = std::move(parsed).value();
    }
    if (const auto revision = revisionOfRequest(baseHead_, request_.requestId))
        return finish(ConfigApplied{.revision = revision});
    return collectParts();
}

ConfigApply::Action ConfigApply::collectParts()
{
    if (base_.index == 0) {
        inForce_ = nullptr;
        return prepare();
    }
    if (local_ && local_->head == baseHead_) {
        inForce_ = local_;
        return conflicted_ ? conflict() : prepare();
    }
    missing_ = missingParts(baseHead_, received_, local_.get());
    if (!missing_.empty()) {
        phase_ = Phase::ReadPart;
        return act();
    }
    auto snapshot = assembleSnapshot(base_.value, received_, local_.get());
    if (!snapshot)
        return fail(ErrorKind::Internal, snapshot.error().message);
    inForce_ = std::move(snapshot).value();
    return conflicted_ ? conflict() : prepare();
}

ConfigApply::Action ConfigApply::conflict() const
{
    return fail(ErrorKind::ConfigConflict,
                "revision " + std::to_string(baseHead_.revision) + " by " + baseHead_.author
                    + " is in force; difference from it to the submitted file:\n"
                    + toString(differenceOf(stateOf(inForce_), submitted_)));
}

// Validates against the state in force, which is now known, and determines what must be written.
ConfigApply::Action ConfigApply::prepare()
{
    const auto *inForce = inForce_ ? inForce_->state.get() : nullptr;
    completeReturnStarts(submitted_, wallNow_, inForce);
    difference_ = differenceOf(stateOf(inForce_), submitted_);
    if (inForce_ && difference_.empty())
        return finish(ConfigApplied{.revision = baseHead_.revision});
    if (request_.baseRevision && *request_.baseRevision != baseHead_.revision)
        return conflict();
    if (const auto issues = validateDesiredState(submitted_, wallNow_, inForce); !issues.empty())
        return finish(boost::outcome_v2::failure(toError(issues)));
    const auto head = nextHead();
    if (!head)
        return finish(boost::outcome_v2::failure(head.error()));
    newRevision_ = head.value().revision;
    newHeadText_ = toText(head.value());
    phase_ = toWrite_.empty() ? Phase::SwapHead : Phase::WritePart;
    return act();
}

Result<ConfigHead> ConfigApply::nextHead()
{
    ConfigHead head;
    const auto held = local_ ? local_->head.revision : 0;
    // A KV service that lost data must not assign a revision that routers already hold.
    head.revision = std::max(baseHead_.revision, held) + 1;
    head.requestId = request_.requestId;
    head.author = request_.author;
    head.recent = baseHead_.recent;
    if (baseHead_.revision != 0)
        head.recent.insert(head.recent.begin(), {baseHead_.revision, baseHead_.requestId});
    if (head.recent.size() > recentRequestCount)
        head.recent.resize(recentRequestCount);
    ConfigIssues issues;
    for (const auto &[name, content] : splitDesiredState(submitted_, inForce_.get())) {
        if (content->size() > kvValueLimitBytes)
            issues.push_back({name, std::to_string(content->size()) + " bytes",
                              "at most " + std::to_string(kvValueLimitBytes) + " bytes"});
        const auto hash = contentHash(*content);
        head.parts.emplace(name, hash);
        const auto stored = baseHead_.parts.find(name);
        if (stored == baseHead_.parts.end() || stored->second != hash)
            toWrite_.emplace_back(hash, content);
    }
    if (!issues.empty())
        return boost::outcome_v2::failure(toError(issues));
    return head;
}

ConfigApply::Action ConfigApply::onSwap(const Result<std::uint64_t> &result, TimePoint now)
{
    const bool conflicts = !result && result.error().kind == ErrorKind::KvConflict;
    if (phase_ == Phase::WritePart) {
        // The key of a part is the hash of its content. A part that exists is therefore equal, and
        // the write can be repeated after a lost response.
        if (!result && !conflicts)
            return retry(result.error(), now);
        toWrite_.pop_back();
        if (toWrite_.empty())
            phase_ = Phase::SwapHead;
        return act();
    }
    if (result)
        return finish(ConfigApplied{newRevision_, true, difference_});
    const bool unknown = result.error().kind == ErrorKind::KvOutcomeUnknown;
    if (!conflicts && !unknown)
        return retry(result.error(), now);
    mayBeApplied_ = mayBeApplied_ || unknown;
    phase_ = Phase::ReadHeadAgain;
    return unknown ? retry(result.error(), now) : act();
}

ConfigApply::Action ConfigApply::onHeadAgain(const std::optional<KvValue> &head)
{
    if ((head ? head->index : 0) == base_.index) {
        // The write whose response was lost has not taken effect, but may still do so. It is safe
        // to repeat it with the same index: at most one of the two succeeds, and both write the
        // same head.
        phase_ = Phase::SwapHead;
        return act();
    }
    if (!head)
        return fail(ErrorKind::KvOutcomeUnknown, "the head was removed during the apply");
    auto parsed = parseConfigHead(head->value);
    if (!parsed)
        return fail(ErrorKind::Internal, parsed.error().message);
    base_ = *head;
    baseHead_ = std::move(parsed).value();
    if (const auto revision = revisionOfRequest(baseHead_, request_.requestId))
        return finish(ConfigApplied{revision, true, difference_});
    if (mayBeApplied_ && baseHead_.revision > newRevision_ + recentRequestCount)
        return fail(ErrorKind::KvOutcomeUnknown,
                    "more than " + std::to_string(recentRequestCount)
                        + " revisions were applied since the response was lost");
    conflicted_ = true;
    return collectParts();
}

} // namespace jy
