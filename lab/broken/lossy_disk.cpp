#include "lossy_disk.h"

#include <sqlite3.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <new>
#include <random>
#include <string>
#include <vector>

namespace lab {
namespace {

constexpr sqlite3_int64 sector = 512;

struct Write {
    sqlite3_int64 at = 0;
    std::string bytes;
    bool cuts = false;  // the file ends at `at`
};

struct State {
    LossyDisk disk;
    std::mt19937_64 random;
    sqlite3_vfs* base = nullptr;
    std::uint64_t syncs = 0;
    sqlite3_vfs vfs{};
    sqlite3_io_methods methods{};
    bool chance(double part) { return static_cast<double>(random() >> 11) * 0x1p-53 < part; }
};

State& state() {
    static State one;
    return one;
}

// What SQLite gives room for: our part, and the file of the layer below right after it.
struct File {
    sqlite3_file head;
    std::vector<Write>* pending;
    sqlite3_file* real() { return reinterpret_cast<sqlite3_file*>(this + 1); }
};
File& file_of(sqlite3_file* file) {
    return *reinterpret_cast<File*>(file);
}

int put(sqlite3_file* real, const Write& write) {
    if (write.cuts) return real->pMethods->xTruncate(real, write.at);
    return real->pMethods->xWrite(real, write.bytes.data(), static_cast<int>(write.bytes.size()), write.at);
}

int flush(File& file) {
    for (const Write& write : *file.pending) {
        if (const int code = put(file.real(), write); code != SQLITE_OK) return code;
    }
    file.pending->clear();
    return SQLITE_OK;
}

int close_file(sqlite3_file* file) {
    File& own = file_of(file);
    flush(own);  // in order: nothing is lost
    delete own.pending;
    return own.real()->pMethods->xClose(own.real());
}

int file_size(sqlite3_file* file, sqlite3_int64* size) {
    File& own = file_of(file);
    const int code = own.real()->pMethods->xFileSize(own.real(), size);
    for (const Write& write : *own.pending) {
        const auto end = write.at + static_cast<sqlite3_int64>(write.bytes.size());
        *size = write.cuts ? std::min(*size, write.at) : std::max(*size, end);
    }
    return code;
}

// What is below, with what is pending laid over it.
int read_file(sqlite3_file* file, void* to, int count, sqlite3_int64 at) {
    File& own = file_of(file);
    sqlite3_int64 size = 0;
    file_size(file, &size);
    int code = own.real()->pMethods->xRead(own.real(), to, count, at);
    if (code != SQLITE_OK && code != SQLITE_IOERR_SHORT_READ) return code;
    char* bytes = static_cast<char*>(to);
    for (const Write& write : *own.pending) {
        const auto from = std::max(at, write.at);
        const auto length = static_cast<sqlite3_int64>(write.bytes.size());
        const auto until = write.cuts ? at + count : std::min(at + count, write.at + length);
        if (from >= until) continue;
        if (write.cuts)
            std::memset(bytes + (from - at), 0, static_cast<std::size_t>(until - from));
        else
            std::memcpy(bytes + (from - at), write.bytes.data() + (from - write.at),
                        static_cast<std::size_t>(until - from));
    }
    return at + count > size ? SQLITE_IOERR_SHORT_READ : SQLITE_OK;
}

int write_file(sqlite3_file* file, const void* from, int count, sqlite3_int64 at) {
    File& own = file_of(file);
    Write write{at, {static_cast<const char*>(from), static_cast<std::size_t>(count)}, false};
    if (state().chance(state().disk.early)) {
        // It stays pending, too: what was written before and is not through yet must not lie over it.
        put(own.real(), write);
    } else if (count > sector && state().chance(state().disk.torn)) {
        const auto half = static_cast<std::size_t>(count / 2 / sector * sector);
        if (half > 0) put(own.real(), {at, write.bytes.substr(0, half), false});
    }
    own.pending->push_back(std::move(write));
    return SQLITE_OK;
}

int truncate_file(sqlite3_file* file, sqlite3_int64 size) {
    file_of(file).pending->push_back({size, "", true});
    return SQLITE_OK;
}

int sync_file(sqlite3_file* file, int flags) {
    if (state().disk.lies) return SQLITE_OK;
    File& own = file_of(file);
    const bool dies = ++state().syncs == state().disk.dies_at;
    if (dies && state().syncs % 2 == 1) std::raise(SIGKILL);
    const int code = flush(own);
    if (code != SQLITE_OK) return code;
    const int synced = own.real()->pMethods->xSync(own.real(), flags);
    if (dies) std::raise(SIGKILL);
    return synced;
}

int lock_file(sqlite3_file* file, int how) {
    return file_of(file).real()->pMethods->xLock(file_of(file).real(), how);
}
int unlock_file(sqlite3_file* file, int how) {
    return file_of(file).real()->pMethods->xUnlock(file_of(file).real(), how);
}
int check_lock(sqlite3_file* file, int* is) {
    return file_of(file).real()->pMethods->xCheckReservedLock(file_of(file).real(), is);
}
int control(sqlite3_file* file, int what, void* with) {
    // Hints on size and maps would pass us by.
    if (what == SQLITE_FCNTL_SIZE_HINT || what == SQLITE_FCNTL_MMAP_SIZE) return SQLITE_NOTFOUND;
    return file_of(file).real()->pMethods->xFileControl(file_of(file).real(), what, with);
}
int sector_size(sqlite3_file*) {
    return static_cast<int>(sector);
}
int promises(sqlite3_file*) {
    return 0;
}

int open_file(sqlite3_vfs*, sqlite3_filename name, sqlite3_file* file, int flags, int* out) {
    File& own = file_of(file);
    own.head.pMethods = nullptr;
    const int code = state().base->xOpen(state().base, name, own.real(), flags, out);
    if (code != SQLITE_OK) return code;
    own.pending = new std::vector<Write>;
    own.head.pMethods = &state().methods;
    return SQLITE_OK;
}

}  // namespace

void use_lossy_disk(const LossyDisk& disk) {
    State& own = state();
    own.disk = disk;
    own.random.seed(disk.seed);
    if (own.base != nullptr) return;
    own.base = sqlite3_vfs_find(nullptr);
    own.methods.iVersion = 1;
    own.methods.xClose = close_file;
    own.methods.xRead = read_file;
    own.methods.xWrite = write_file;
    own.methods.xTruncate = truncate_file;
    own.methods.xSync = sync_file;
    own.methods.xFileSize = file_size;
    own.methods.xLock = lock_file;
    own.methods.xUnlock = unlock_file;
    own.methods.xCheckReservedLock = check_lock;
    own.methods.xFileControl = control;
    own.methods.xSectorSize = sector_size;
    own.methods.xDeviceCharacteristics = promises;
    own.vfs = *own.base;
    own.vfs.szOsFile = static_cast<int>(sizeof(File)) + own.base->szOsFile;
    own.vfs.pNext = nullptr;
    own.vfs.zName = "lossy";
    own.vfs.xOpen = open_file;
    sqlite3_vfs_register(&own.vfs, 1);
}

}  // namespace lab
