// Applies the operations of operators to the configuration document and validates the result.
//
//     auto next = applyOperations(document, operations);
//     if (!next) { for (const std::string &it : next.error()) { ... } }
#pragma once

#include "gentianplank/proto/configuration.pb.h"

#include <tl/expected.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// The organisation of requests without a key, on routes that are open to all. It may be configured
// to set their rate, and holds no keys.
inline constexpr std::string_view OpenOrganisation = "open";
// Ends the organisation's name in the request ids that are recorded by groups.
inline constexpr char RequestIdSeparator = '/';

using ConfigurationDocument = configuration::v1::Document;
using ConfigurationOperation = configuration::v1::Operation;
using ConfigurationChange = configuration::v1::Change;

// The changed document, and the touched entries before and after the change in text form. An entry
// that was added or removed has an empty text on one side.
struct AppliedChange
{
    ConfigurationDocument document;
    std::vector<std::string> before;
    std::vector<std::string> after;
};

// Applies all operations in order, then validates the whole document. Returns all errors if an
// operation can't be applied or the result isn't valid. Doesn't change the revision. Deterministic.
tl::expected<AppliedChange, std::vector<std::string>>
applyOperations(const ConfigurationDocument &document,
                std::span<const ConfigurationOperation> operations);

// Returns all errors of a document; empty if it is valid.
std::vector<std::string> validateDocument(const ConfigurationDocument &document);

// Applies an accepted change, without validation, and sets the document's revision to that of the
// change. Returns false and changes nothing unless change.revision() == document.revision() + 1.
bool applyChange(ConfigurationDocument &document, const ConfigurationChange &change);

} // namespace gentianplank
