#include "jy_core/config/ConfigReplica.h"

namespace jy {

ConfigOfferResult ConfigReplica::offer(std::string_view headText, std::vector<std::string> contents)
{
    const auto head = parseConfigHead(headText);
    if (!head)
        return ConfigRejected{head.error()};
    const auto offered = head.value().revision;
    if (offered <= revision()) {
        const bool same = offered == revision();
        return ConfigIgnored{.lowerRevision = !same,
                             .sameRevisionOtherHead =
                                 same && snapshot_ && !(snapshot_->head == head.value())};
    }
    for (auto &content : contents) {
        auto hash = contentHash(content);
        received_.insert_or_assign(std::move(hash),
                                   std::make_shared<const std::string>(std::move(content)));
    }
    // Keeps only the parts to which this head refers, to limit the memory of incomplete offers.
    ConfigContents named;
    receivedNames_.clear();
    for (const auto &[name, hash] : head.value().parts) {
        const auto found = received_.find(hash);
        if (found == received_.end())
            continue;
        named.insert(*found);
        receivedNames_.emplace(name, hash);
    }
    received_ = std::move(named);
    auto missing = missingParts(head.value(), received_, snapshot_.get());
    if (!missing.empty())
        return ConfigNeedParts{offered, std::move(missing)};
    auto assembled = assembleSnapshot(headText, received_, snapshot_.get());
    received_.clear();
    receivedNames_.clear();
    if (!assembled)
        return ConfigRejected{assembled.error()};
    const ConfigAdopted result{.previousRevision = revision(), .revision = offered};
    snapshot_ = std::move(assembled).value();
    return result;
}

MissingParts ConfigReplica::held() const
{
    auto held = snapshot_ ? snapshot_->head.parts : MissingParts{};
    for (const auto &[name, hash] : receivedNames_)
        held.insert_or_assign(name, hash);
    return held;
}

} // namespace jy
