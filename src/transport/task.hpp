#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace paddletrack::transport {

template <typename T = void>
class Task;

namespace detail {

struct Promise {
  std::coroutine_handle<> continuation;  // Resumed when this coroutine has finished.
  std::exception_ptr error;

  std::suspend_always initial_suspend() noexcept { return {}; }
  struct FinalAwaiter {
    bool await_ready() noexcept { return false; }
    template <typename P>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<P> finished) noexcept {
      const std::coroutine_handle<> next = finished.promise().continuation;
      return next ? next : std::noop_coroutine();
    }
    void await_resume() noexcept {}
  };
  FinalAwaiter final_suspend() noexcept { return {}; }
  void unhandled_exception() { error = std::current_exception(); }
};

template <typename T>
struct TaskPromise : Promise {
  std::optional<T> value;
  Task<T> get_return_object();
  void return_value(T result) { value = std::move(result); }
  T takeResult() { return std::move(*value); }
};

template <>
struct TaskPromise<void> : Promise {
  Task<void> get_return_object();
  void return_void() {}
  void takeResult() {}
};

}  // namespace detail

/// A lazily started coroutine, which runs once it is awaited or start() is called. The Task owns the
/// coroutine and may destroy it at any suspension point, so an awaitable must deregister itself in its
/// destructor.
template <typename T>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::TaskPromise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  Task() = default;
  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }
  ~Task() {
    if (handle_) handle_.destroy();
  }

  void start() { handle_.resume(); }

  auto operator co_await() noexcept {
    struct Awaiter {
      Handle handle;
      bool await_ready() noexcept { return false; }
      std::coroutine_handle<> await_suspend(std::coroutine_handle<> waiting) noexcept {
        handle.promise().continuation = waiting;
        return handle;
      }
      T await_resume() {
        if (handle.promise().error) std::rethrow_exception(handle.promise().error);
        return handle.promise().takeResult();
      }
    };
    return Awaiter{handle_};
  }

 private:
  Handle handle_;
};

template <typename T>
Task<T> detail::TaskPromise<T>::get_return_object() {
  return Task<T>(Task<T>::Handle::from_promise(*this));
}
inline Task<void> detail::TaskPromise<void>::get_return_object() {
  return Task<void>(Task<void>::Handle::from_promise(*this));
}

}  // namespace paddletrack::transport
