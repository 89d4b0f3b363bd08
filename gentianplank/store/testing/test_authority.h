// Certificates for tests, made by the openssl command in a temporary folder.
//
//     TestAuthority authority;
//     TlsSettings tls = authority.issue("vm-1");
#pragma once

#include "gentianplank/settings/settings.h"

#include <filesystem>
#include <string>

namespace gentianplank {

// Removes its folder when it is destroyed.
class TestAuthority
{
public:
    TestAuthority();
    ~TestAuthority();

    // Makes a certificate for 127.0.0.1. Throws when openssl fails.
    TlsSettings issue(const std::string &name) const;

    // The authority's certificate in PEM.
    std::string certificate() const;

private:
    std::filesystem::path m_folder;
};

} // namespace gentianplank
