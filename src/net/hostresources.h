// The memory and descriptors that a process may use, and the settings of its memory allocator.
#pragma once

#include <cstddef>
#include <cstdint>

namespace KingCup
{

/// Bytes that this process may use: `configured`, or all of the host's memory if that is 0.
auto usableMemory(std::uint64_t configured) -> std::uint64_t;
/// Open files that this process may have: `configured`, unless that is 0, and at most its limit.
auto usableDescriptors(std::size_t configured) -> std::size_t;

/// Makes the allocator return large blocks to the host as soon as they are freed. By default glibc serves blocks of up to 32 MB from its heap once such a block
/// was freed, and a heap that has grown by large bodies is rarely returned. To be called before the first large allocation.
auto returnLargeBlocks() -> void;
/// Returns freed memory to the host as far as possible. Takes some milliseconds for each 100 MB.
auto returnFreeMemory() -> void;

} // namespace KingCup
