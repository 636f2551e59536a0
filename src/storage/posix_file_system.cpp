// File system on POSIX system calls, and the functions of file_system.h that work on any file
// system.

#include "storage/posix_file_system.h"

#include <array>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <system_error>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace greengagehead::storage {

namespace {

/// Read and write for the owner only.
constexpr mode_t new_file_mode = 0600;
constexpr std::size_t read_block_bytes = 1 << 16;

/// The error of the system call named `call` that failed with `error_number`.
base::error system_error(base::error_step step, std::string const& call, std::string const& path,
                         int error_number)
{
    auto const code = error_number == ENOENT ? base::error_code::not_found : base::error_code::io;
    return {
        code, step, {}, call + " " + path + ": " + std::generic_category().message(error_number)};
}

/// Owns a file descriptor and closes it.
class file_descriptor {
public:
    explicit file_descriptor(int fd) : fd(fd) { }
    ~file_descriptor()
    {
        if (this->fd >= 0)
            ::close(this->fd);
    }
    file_descriptor(file_descriptor const&) = delete;
    file_descriptor& operator=(file_descriptor const&) = delete;

    [[nodiscard]] int get() const { return this->fd; }
    [[nodiscard]] bool valid() const { return this->fd >= 0; }

private:
    int fd;
};

class posix_file : public file {
public:
    posix_file(int fd, std::string path) : handle(fd), path(std::move(path)) { }

    base::result<std::size_t> append(std::string_view bytes) override
    {
        while (true) {
            auto const written = ::write(this->handle.get(), bytes.data(), bytes.size());
            if (written >= 0)
                return static_cast<std::size_t>(written);
            if (errno != EINTR)
                return system_error(base::error_step::sync, "write", this->path, errno);
        }
    }

    base::result<void> sync() override
    {
        if (::fdatasync(this->handle.get()) != 0)
            return system_error(base::error_step::sync, "fdatasync", this->path, errno);
        return boost::outcome_v2::success();
    }

private:
    file_descriptor handle;
    std::string path;
};

/// A flock on the folder. The kernel releases it when the descriptor is closed, also when the
/// process is killed.
class posix_folder_lock : public folder_lock {
public:
    explicit posix_folder_lock(int fd) : handle(fd) { }
    [[nodiscard]] int get() const { return this->handle.get(); }

private:
    file_descriptor handle;
};

} // namespace

base::result<std::unique_ptr<file>> posix_file_system::open_append(std::string const& path)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
    int const fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, new_file_mode);
    if (fd < 0)
        return system_error(base::error_step::recover, "open", path, errno);
    return std::make_unique<posix_file>(fd, path);
}

base::result<std::string> posix_file_system::read(std::string const& path)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
    file_descriptor const source(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!source.valid())
        return system_error(base::error_step::recover, "open", path, errno);
    std::string content;
    std::array<char, read_block_bytes> block {};
    while (true) {
        auto const count = ::read(source.get(), block.data(), block.size());
        if (count == 0)
            return content;
        if (count > 0)
            content.append(block.data(), static_cast<std::size_t>(count));
        else if (errno != EINTR)
            return system_error(base::error_step::recover, "read", path, errno);
    }
}

base::result<void> posix_file_system::rename(std::string const& from, std::string const& to)
{
    if (std::rename(from.c_str(), to.c_str()) != 0)
        return system_error(base::error_step::sync, "rename", from, errno);
    return boost::outcome_v2::success();
}

base::result<void> posix_file_system::remove(std::string const& path)
{
    if (::unlink(path.c_str()) != 0 && errno != ENOENT)
        return system_error(base::error_step::sync, "unlink", path, errno);
    return boost::outcome_v2::success();
}

base::result<void> posix_file_system::create_folder(std::string const& path)
{
    std::error_code failure;
    std::filesystem::create_directories(path, failure);
    if (failure)
        return system_error(base::error_step::recover, "mkdir", path, failure.value());
    return boost::outcome_v2::success();
}

base::result<std::unique_ptr<folder_lock>> posix_file_system::lock_folder(std::string const& path)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
    int const fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0)
        return system_error(base::error_step::recover, "open", path, errno);
    auto lock = std::make_unique<posix_folder_lock>(fd);
    if (::flock(lock->get(), LOCK_EX | LOCK_NB) == 0)
        return lock;
    if (errno == EWOULDBLOCK)
        return base::error {base::error_code::conflict,
                            base::error_step::recover,
                            {},
                            path + " is in use by another process"};
    return system_error(base::error_step::recover, "flock", path, errno);
}

base::result<void> posix_file_system::sync_folder(std::string const& path)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
    file_descriptor const folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.valid() || ::fsync(folder.get()) != 0)
        return system_error(base::error_step::sync, "fsync", path, errno);
    return boost::outcome_v2::success();
}

base::result<void> append_all(file& target, std::string const& path, std::string_view bytes)
{
    BOOST_OUTCOME_TRY(written, target.append(bytes));
    if (written == bytes.size())
        return boost::outcome_v2::success();
    return base::error {base::error_code::io,
                        base::error_step::sync,
                        {},
                        "short write to " + path + ": " + std::to_string(written) + " of "
                            + std::to_string(bytes.size()) + " bytes"};
}

base::result<void> replace_file(file_system& files, std::string const& folder,
                                std::string const& name, std::string_view bytes)
{
    auto const path = folder + "/" + name;
    auto const temporary = path + ".tmp";
    BOOST_OUTCOME_TRY(files.remove(temporary));
    BOOST_OUTCOME_TRY(target, files.open_append(temporary));
    BOOST_OUTCOME_TRY(append_all(*target, temporary, bytes));
    BOOST_OUTCOME_TRY(target->sync());
    BOOST_OUTCOME_TRY(files.rename(temporary, path));
    return files.sync_folder(folder);
}

} // namespace greengagehead::storage
