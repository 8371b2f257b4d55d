// Certificates for tests, created by the openssl tool while the test runs.
#pragma once

#include "core/endpoint.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace KingCup
{

/// A certificate authority in a temporary folder, which is removed with it.
class TestAuthority
{
public:
    TestAuthority()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "kingcup-tls-XXXXXX";
        m_folder = mkdtemp(pattern.data());
        std::ofstream(m_folder / "names.ext") << "subjectAltName=IP:127.0.0.1\n";
        run("req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 2 -subj /CN=authority -keyout ca.key -out ca.pem");
    }
    ~TestAuthority()
    {
        std::filesystem::remove_all(m_folder);
    }
    TestAuthority(const TestAuthority &) = delete;
    auto operator=(const TestAuthority &) -> TestAuthority & = delete;

    /// Creates, or replaces, a signed certificate and its key.
    auto issue(const std::string &name) -> TlsFiles
    {
        run("req -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -subj /CN=" + name + " -keyout " + name + ".new -out " + name + ".csr");
        run("x509 -req -days 2 -in " + name + ".csr -CA ca.pem -CAkey ca.key -CAcreateserial -extfile names.ext -out " + name + ".pem");
        std::filesystem::rename(m_folder / (name + ".new"), m_folder / (name + ".key"));
        return {m_folder / (name + ".pem"), m_folder / (name + ".key"), m_folder / "ca.pem"};
    }

private:
    auto run(const std::string &arguments) -> void
    {
        const auto command = "cd " + m_folder.string() + " && openssl " + arguments + " >openssl.log 2>&1";
        if (std::system(command.c_str()) != 0) { // NOLINT(concurrency-mt-unsafe): tests create certificates before they start threads
            throw std::runtime_error("openssl failed: " + command);
        }
    }

    std::filesystem::path m_folder;
};

} // namespace KingCup
