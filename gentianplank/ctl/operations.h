// Parses command-line arguments into configuration operations and fault requests.
//
//     auto operation = parsePutOrganisation({"dredge-co", "100", "200"});
//     if (!operation) { std::cerr << operation.error(); }
#pragma once

#include "gentianplank/proto/configuration.pb.h"
#include "gentianplank/proto/standin.pb.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace gentianplank {

using Arguments = std::span<const std::string>;

// The value, or an error message that names the invalid argument.
template <typename Value>
using Parsed = tl::expected<Value, std::string>;

// Parse a decimal integer; `name` is the parameter that the error message names.
Parsed<uint32_t> parseCount(std::string_view name, const std::string &argument);
Parsed<int64_t> parseAmount(std::string_view name, const std::string &argument);

// Parses NAME=IP:PORT@ZONE/REGION.
Parsed<configuration::v1::Member> parseMember(const std::string &argument);

// The parsers below get the arguments after the verb's name, at least as many as their form
// requires.

// RATE BURST.
Parsed<configuration::v1::Operation> parseSetDefaults(Arguments arguments);
// NAME RATE BURST [WEIGHT].
Parsed<configuration::v1::Operation> parsePutOrganisation(Arguments arguments);
// NAME GROUP [open | ORGANISATION...].
Parsed<configuration::v1::Operation> parsePutRoute(Arguments arguments);
// GROUP SLOTS CONNECTIONS MEMBER...
Parsed<configuration::v1::Operation> parsePutTarget(Arguments arguments);
// GROUP MEMBER yes|no.
Parsed<configuration::v1::Operation> parseSetLeaving(Arguments arguments);
// NAME rate-percent|suspend|primary-only-ack SUBJECT [PERCENT]. A blank `reason` is an error.
Parsed<configuration::v1::Operation> parsePutException(Arguments arguments,
                                                       const std::string &reason);

// Returns the key given literally, or for @FILE the content of the file without the line end.
Parsed<std::string> parseKey(const std::string &argument);

// Returns the digest of the granted key whose digest starts with `prefix`, in hexadecimal digits.
// An error if none or more than one does.
Parsed<std::string> findKeyDigest(const configuration::v1::Document &document,
                                  std::string_view prefix);

// Returns the first bytes of a digest in hexadecimal digits, the form in which keys are listed.
std::string digestPrefix(std::string_view digest);

// GROUP MEMBER [NAME=VALUE...] and [NAME=VALUE...]. NAME is a field of the protobuf message
// MemberFault or StoreFault.
Parsed<standin::v1::FaultRequest> parseMemberFault(Arguments arguments);
Parsed<standin::v1::FaultRequest> parseStoreFault(Arguments arguments);

} // namespace gentianplank
