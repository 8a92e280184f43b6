#pragma once
#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace basaltchute {

/// A coroutine that starts when it is awaited and resumes its awaiter when it ends. It owns the
/// coroutine frame. An exception that leaves the coroutine is thrown where it is awaited.
///
/// GCC 12 destroys temporaries of an awaited expression early in some cases, so callers bind
/// awaited objects to named locals.
template <typename T>
class [[nodiscard]] Task;

namespace detail {
struct FinalAwaiter {
    bool await_ready() noexcept { return false; }
    template <typename P>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<P> h) noexcept {
        auto next = h.promise().continuation;
        return next ? next : std::noop_coroutine();
    }
    void await_resume() noexcept {}
};
struct PromiseBase {
    std::coroutine_handle<> continuation;
    std::exception_ptr error;
    std::suspend_always initial_suspend() noexcept { return {}; }
    FinalAwaiter final_suspend() noexcept { return {}; }
    void unhandled_exception() { error = std::current_exception(); }
};
template <typename T>
struct Promise : PromiseBase {
    std::optional<T> value;
    Task<T> get_return_object();
    template <typename U>
    void return_value(U&& v) {
        value.emplace(std::forward<U>(v));
    }
    T take() { return std::move(*value); }
};
template <>
struct Promise<void> : PromiseBase {
    Task<void> get_return_object();
    void return_void() noexcept {}
    void take() noexcept {}
};
}  // namespace detail

template <typename T>
class [[nodiscard]] Task {
  public:
    using promise_type = detail::Promise<T>;
    explicit Task(std::coroutine_handle<promise_type> h) : handle_(h) {}
    Task(Task&& o) noexcept : handle_(std::exchange(o.handle_, {})) {}
    Task(const Task&) = delete;
    Task& operator=(const Task&) = delete;
    Task& operator=(Task&&) = delete;
    ~Task() {
        if (handle_) handle_.destroy();
    }
    bool await_ready() const noexcept { return false; }
    std::coroutine_handle<> await_suspend(std::coroutine_handle<> caller) noexcept {
        handle_.promise().continuation = caller;
        return handle_;
    }
    T await_resume() {
        if (handle_.promise().error) std::rethrow_exception(handle_.promise().error);
        return handle_.promise().take();
    }

  private:
    std::coroutine_handle<promise_type> handle_;
};

namespace detail {
template <typename T>
Task<T> Promise<T>::get_return_object() {
    return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}
inline Task<void> Promise<void>::get_return_object() {
    return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}
}  // namespace detail

}  // namespace basaltchute
