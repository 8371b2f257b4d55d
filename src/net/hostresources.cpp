#include "net/hostresources.h"

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace KingCup
{

namespace
{

constexpr int MappedBlockBytes = 1 << 20; ///< larger blocks are mapped by themselves
constexpr int KeptHeapBytes = 4 << 20; ///< free bytes at the end of the heap that aren't returned

} // namespace

auto usableMemory(std::uint64_t configured) -> std::uint64_t
{
    if (configured > 0) {
        return configured;
    }
    return static_cast<std::uint64_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

auto usableDescriptors(std::size_t configured) -> std::size_t
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    const auto own = static_cast<std::size_t>(limit.rlim_cur);
    return configured > 0 ? std::min(configured, own) : own;
}

auto returnLargeBlocks() -> void
{
    mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, KeptHeapBytes);
}

auto returnFreeMemory() -> void
{
    malloc_trim(0);
}

} // namespace KingCup
