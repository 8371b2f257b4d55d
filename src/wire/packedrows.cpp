#include "wire/packedrows.h"

#include <string>
#include <zlib.h>

namespace KingCup
{

namespace
{

constexpr std::size_t MinPackedBytes = 512; ///< bytes; compressing smaller messages gains little
constexpr std::uint64_t MaxUnpackedBytes = 64U << 20U; ///< bytes; a wrong length must not exhaust the memory. Declarations of 20,000 routes fit
constexpr int ZlibLevel = 1; ///< the fastest: processes may have only a tenth of a CPU

} // namespace

auto packRows(const Wire::StoreRows &rows) -> Wire::StoreRows
{
    const auto plain = rows.SerializeAsString();
    if (plain.size() < MinPackedBytes) {
        return rows;
    }
    auto size = compressBound(plain.size());
    std::string packed(size, '\0');
    const int result = compress2(reinterpret_cast<Bytef *>(packed.data()), &size, reinterpret_cast<const Bytef *>(plain.data()), plain.size(), ZlibLevel);
    if (result != Z_OK || size >= plain.size()) {
        return rows;
    }
    packed.resize(size);
    Wire::StoreRows shorter;
    shorter.set_table(rows.table());
    shorter.set_packed(std::move(packed));
    shorter.set_unpacked_bytes(plain.size());
    return shorter;
}

auto unpackRows(const Wire::StoreRows &rows) -> std::optional<Wire::StoreRows>
{
    if (rows.packed().empty()) {
        return rows;
    }
    if (rows.unpacked_bytes() > MaxUnpackedBytes) {
        return std::nullopt;
    }
    uLongf size = rows.unpacked_bytes();
    std::string plain(size, '\0');
    const auto &packed = rows.packed();
    const int result = uncompress(reinterpret_cast<Bytef *>(plain.data()), &size, reinterpret_cast<const Bytef *>(packed.data()), packed.size());
    Wire::StoreRows unpacked;
    if (result != Z_OK || size != rows.unpacked_bytes() || !unpacked.ParseFromString(plain)) {
        return std::nullopt;
    }
    return unpacked;
}

} // namespace KingCup
