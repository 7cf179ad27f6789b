#include "jy_core/config/ConfigReplica.h"

#include <algorithm>

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
    // Only parts that this head names are kept, which bounds the memory of incomplete offers.
    std::erase_if(received_, [&](const auto &entry) {
        const auto &parts = head.value().parts;
        return std::none_of(parts.begin(), parts.end(),
                            [&](const auto &part) { return part.second == entry.first; });
    });
    auto missing = missingParts(head.value(), received_, snapshot_.get());
    if (!missing.empty())
        return ConfigNeedParts{offered, std::move(missing)};
    auto assembled = assembleSnapshot(headText, received_, snapshot_.get());
    received_.clear();
    if (!assembled)
        return ConfigRejected{assembled.error()};
    const ConfigAdopted result{.previousRevision = revision(), .revision = offered};
    snapshot_ = std::move(assembled).value();
    return result;
}

} // namespace jy
