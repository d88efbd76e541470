#include "drain/roll.hpp"

namespace paddletrack::drain {

// A miss: the one that is out is brought back, and no other is touched.
Roll::Act Roll::fail(Span now, std::string why) {
  why_ = std::move(why);
  const bool out = step_ != Step::before;
  step_ = out ? Step::undoing : Step::over;
  since_ = now;
  if (!out) return {Do::failed, at_};
  return {Do::bringBack, at_};
}

Roll::Act Roll::look(Span now) {
  const Seen* one = at_ < seen_.size() ? &seen_[at_] : nullptr;
  switch (step_) {
    case Step::before: {
      if (!one) {
        step_ = Step::over;
        return {Do::finished, at_};
      }
      // Two out at once is what a roll is there to prevent.
      for (std::size_t each = 0; each < seen_.size(); ++each)
        if (!serves(each)) {
          if (seen_[each].state == "coming-back" && now < since_ + terms_.back) return {Do::wait, each};
          at_ = each;
          return fail(now, seen_[each].reached ? "it is " + seen_[each].state + ", not serving"
                                               : "it does not answer");
        }
      drainBefore_ = one->drain;
      processBefore_ = one->process;
      worked_.reset();
      broughtBack_ = false;
      step_ = Step::asked;
      since_ = now;
      return {Do::ask, at_};
    }
    case Step::asked: {
      const bool ours = one->reached && one->process == processBefore_ && one->drain == drainBefore_ + 1;
      if (one->reached && one->process != processBefore_)
        return fail(now, "it was started anew while it drained");
      if (ours && one->missed) return fail(now, "its deadline found jobs open");
      if (ours && (one->state == "coming-back" || one->state == "serving"))
        return fail(now, "somebody cancelled its drain");
      if (ours && one->state == "drained") {
        step_ = Step::working;
        since_ = now;
        if (terms_.restarts) return {Do::work, at_};
        worked_ = true;
        return look(now);
      }
      if (now >= since_ + terms_.deadline + terms_.grace)
        return fail(now,
                    one->reached ? "it is not drained in time" : "it stopped answering while it drained");
      return {Do::wait, at_};
    }
    case Step::working: {
      if (!worked_) return {Do::wait, at_};
      if (!*worked_) return fail(now, "what was to be done to it failed");
      step_ = Step::returning;
      since_ = now;
      return look(now);
    }
    case Step::returning: {
      if (serves(at_)) {
        ++back_, ++at_;
        step_ = Step::before;
        since_ = now;
        return look(now);
      }
      if (now >= since_ + terms_.back) return fail(now, "it does not serve again");
      // One that was started anew comes back by itself; one that was not has to be asked, once.
      const bool same = one->reached && one->process == processBefore_;
      if (same && !broughtBack_ && (one->state == "drained" || one->state == "ending")) {
        broughtBack_ = true;
        return {Do::bringBack, at_};
      }
      return {Do::wait, at_};
    }
    case Step::undoing: {
      if (serves(at_) || now >= since_ + terms_.back) {
        step_ = Step::over;
        if (!serves(at_)) why_ += "; and it could not be brought back";
        return {Do::failed, at_};
      }
      return {Do::wait, at_};
    }
    case Step::over:
      break;
  }
  return {why_.empty() ? Do::finished : Do::failed, at_};
}

}  // namespace paddletrack::drain
