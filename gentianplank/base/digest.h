// Digests of keys and answers, and keyed signatures, by libsodium.
//
//     const std::string digest = keyDigest(callerKey);    // what the configuration stores
//     if (equalInConstantTime(digest, stored)) { ... }
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace gentianplank {

// The length of every digest in bytes.
inline constexpr size_t DigestBytes = 32;

// Returns the BLAKE2b-256 digest of an organisation's key. Thread-safe.
std::string keyDigest(std::string_view key);

// Returns a keyed BLAKE2b-256 digest of `payload`. A secret of 16 to 64 bytes is used as it is; any
// other is hashed first. Thread-safe.
std::string signPayload(std::string_view payload, std::string_view secret);

// Compares in a time that does not depend on the contents; false for different lengths.
// Thread-safe.
bool equalInConstantTime(std::string_view a, std::string_view b);

// A running BLAKE2b-256 digest over the values that are added to it. Not thread-safe.
class RunningDigest
{
public:
    RunningDigest();
    RunningDigest(const RunningDigest &other);
    RunningDigest &operator=(const RunningDigest &other);
    RunningDigest(RunningDigest &&) noexcept;
    RunningDigest &operator=(RunningDigest &&) noexcept;
    ~RunningDigest();

    // Adds a value with its length, so that ("ab", "c") and ("a", "bc") differ.
    void add(std::string_view value);

    // Returns the digest of the values added so far; more may be added afterwards.
    std::string value() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
