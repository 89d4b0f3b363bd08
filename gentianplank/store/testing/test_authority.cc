#include "gentianplank/store/testing/test_authority.h"

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <unistd.h>

namespace gentianplank {

namespace {

constexpr std::string_view NewKey = "req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes";

void openssl(const std::string &arguments)
{
    const std::string command = "openssl " + arguments + " 2>/dev/null";
    if (std::system(command.c_str()) != 0) {
        throw std::runtime_error("failed: " + command);
    }
}

} // namespace

TestAuthority::TestAuthority()
{
    static int count = 0;
    m_folder = std::filesystem::temp_directory_path() /
               ("gentianplank-tls-" + std::to_string(getpid()) + "-" + std::to_string(count++));
    std::filesystem::create_directories(m_folder);
    openssl(std::string(NewKey) + " -x509 -days 2 -subj /CN=test-authority-" +
            std::to_string(count) + " -keyout " + (m_folder / "authority.key").string() + " -out " +
            (m_folder / "authority.pem").string());
}

TestAuthority::~TestAuthority()
{
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

TlsSettings TestAuthority::issue(const std::string &name) const
{
    const std::string base = (m_folder / name).string();
    std::ofstream(base + ".ext") << "subjectAltName=IP:127.0.0.1\n";
    openssl(std::string(NewKey) + " -subj /CN=" + name + " -keyout " + base + ".key -out " + base +
            ".csr");
    openssl("x509 -req -days 2 -CAcreateserial -in " + base + ".csr -extfile " + base +
            ".ext -CA " + (m_folder / "authority.pem").string() + " -CAkey " +
            (m_folder / "authority.key").string() + " -out " + base + ".pem");
    TlsSettings tls;
    tls.certificateFile = base + ".pem";
    tls.keyFile = base + ".key";
    tls.authorityFile = (m_folder / "authority.pem").string();
    return tls;
}

std::string TestAuthority::certificate() const
{
    std::ifstream in(m_folder / "authority.pem", std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace gentianplank
