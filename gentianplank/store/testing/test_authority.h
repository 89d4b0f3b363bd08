// A certificate authority for tests. Creates its files with the openssl command in a temporary
// folder.
//
//     TestAuthority authority;
//     TlsSettings tls = authority.issue("vm-1");
#pragma once

#include "gentianplank/settings/settings.h"

#include <filesystem>
#include <string>

namespace gentianplank {

// The destructor removes the folder.
class TestAuthority
{
public:
    TestAuthority();
    ~TestAuthority();

    // Issues a certificate for 127.0.0.1. Throws if openssl fails.
    TlsSettings issue(const std::string &name) const;

    // Returns the authority's certificate in PEM.
    std::string certificate() const;

private:
    std::filesystem::path m_folder;
};

} // namespace gentianplank
