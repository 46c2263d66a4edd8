// A value read from the store, with the revision of its key.
#pragma once

#include <cstdint>

namespace pineroad::store {

// A decoded value and the revision at which its key was last modified. A transaction that must not overwrite
// a newer value names this revision in its condition; 0 stands for a key that does not exist.
template <class T>
struct Versioned {
    T value;
    std::uint64_t mod_revision = 0;
};

}  // namespace pineroad::store
