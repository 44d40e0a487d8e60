/// Learnt limits of targets.
#include <bronzespar/proxy/target_pace.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// The usual time of a class covers about this many of its latest samples, so
/// that it hardly moves during a trial.
constexpr unsigned UsualSamples = 400;
/// A level's average covers about this many of its latest samples, as service
/// times vary by as much as their mean.
constexpr unsigned LevelSamples = 60;
constexpr double TimeWeight = 0.2;
/// A single slow statement must not outweigh the others.
constexpr double MaxRatio = 10;
/// What was seen longer ago does not count: the target may have changed.
constexpr duration LevelLifetime = std::chrono::seconds(6);
/// Pause after a trial that changed the window; it doubles with each one that
/// did not, up to the longest.
constexpr duration MinTrialPause = std::chrono::milliseconds(400);
constexpr duration MaxTrialPause = std::chrono::seconds(2);
/// Longest duration of a trial.
constexpr duration MaxTrialDuration = std::chrono::seconds(4);
/// A smaller window must reach this part of the throughput, and a larger one
/// exceed it by as much.
constexpr double NearlyAsGood = 0.92;
/// Part by which a trial's window differs.
constexpr double TrialStep = 0.3;
/// A new connection occupies one while it is opened.
constexpr unsigned LeastWindow = 2;
/// A target that was slow is tried again within a few seconds.
constexpr duration ForgettingTime = std::chrono::seconds(3);

double weightOf(unsigned Samples, unsigned Most) {
  return 1.0 / std::min(Samples + 1, Most);
}

bool isKnown(const target_pace &Pace, unsigned UnderWay, instant Now) {
  if (UnderWay >= Pace.Levels.size())
    return false;
  const pace_level &Level = Pace.Levels[UnderWay];
  return Level.Samples >= LevelSamples && Now < Level.UpdatedAt + LevelLifetime;
}

/// Statements that are completed in the usual service time of one.
double throughputOf(const target_pace &Pace, unsigned UnderWay) {
  return UnderWay / Pace.Levels[UnderWay].Ratio;
}

void recordLevel(target_pace &Pace, unsigned UnderWay, double Ratio,
                 instant Now) {
  if (Pace.Levels.size() <= UnderWay)
    Pace.Levels.resize(UnderWay + 1);
  pace_level &Level = Pace.Levels[UnderWay];
  if (Now >= Level.UpdatedAt + LevelLifetime)
    Level = {};
  Level.Ratio += (Ratio - Level.Ratio) * weightOf(Level.Samples, LevelSamples);
  Level.Samples += 1;
  Level.UpdatedAt = Now;
}

unsigned trialWindow(const target_pace &Pace, unsigned Most) {
  const double Step = std::max(1.0, Pace.Window * TrialStep);
  const auto Whole = static_cast<unsigned>(std::ceil(Step));
  if (Pace.TriesMore)
    return std::min(Most, Pace.Window + Whole);
  return Pace.Window > LeastWindow + Whole ? Pace.Window - Whole : LeastWindow;
}

void beginTrial(target_pace &Pace, unsigned Most, instant Now) {
  const unsigned Window = trialWindow(Pace, Most);
  if (Window == Pace.Window) {
    Pace.TriesMore = !Pace.TriesMore;
    return;
  }
  Pace.Trial = {Window, Now + MaxTrialDuration};
  if (Pace.Levels.size() <= Window)
    Pace.Levels.resize(Window + 1);
  Pace.Levels[Window] = {};
}

void endTrial(target_pace &Pace, instant Now) {
  const unsigned Tried = std::exchange(Pace.Trial, {}).Window;
  Pace.NextTrialAt = Now + Pace.TrialPause;
  if (!isKnown(Pace, Tried, Now) || !isKnown(Pace, Pace.Window, Now))
    return;
  const double Known = throughputOf(Pace, Pace.Window);
  const double Seen = throughputOf(Pace, Tried);
  const bool IsBetter = Tried < Pace.Window ? Seen >= Known * NearlyAsGood
                                            : Seen * NearlyAsGood > Known;
  if (IsBetter) {
    Pace.Window = Tried;
    Pace.TrialPause = MinTrialPause;
    return;
  }
  Pace.TriesMore = !Pace.TriesMore;
  Pace.TrialPause = std::min(Pace.TrialPause * 2, MaxTrialPause);
}

void adjustWindow(target_pace &Pace, unsigned UnderWay, unsigned Most,
                  instant Now) {
  if (Pace.Window == 0 || Pace.Window > Most)
    Pace.Window = Most;
  if (Pace.Trial.Window != 0) {
    if (isKnown(Pace, Pace.Trial.Window, Now) || Now >= Pace.Trial.EndsAt)
      endTrial(Pace, Now);
    return;
  }
  const bool IsFull = UnderWay >= Pace.Window;
  if (IsFull && Now >= Pace.NextTrialAt && isKnown(Pace, Pace.Window, Now))
    beginTrial(Pace, Most, Now);
}

} // namespace

void recordService(target_pace &Pace, int Class, unsigned UnderWay,
                   double ServiceMs, unsigned Most, instant Now) {
  if (UnderWay == 0 || !(ServiceMs > 0))
    return;
  usual_time &Usual = Pace.Usual[Class];
  Usual.Ms += (ServiceMs - Usual.Ms) * weightOf(Usual.Samples++, UsualSamples);
  const double Ratio = std::min(ServiceMs / Usual.Ms, MaxRatio);
  recordLevel(Pace, UnderWay, Ratio, Now);
  adjustWindow(Pace, UnderWay, Most, Now);
}

void recordTime(target_pace &Pace, double TimeMs) noexcept {
  Pace.TimeMs += (TimeMs - Pace.TimeMs) * (Pace.TimeMs > 0 ? TimeWeight : 1.0);
}

unsigned windowOf(const target_pace &Pace, unsigned Most) noexcept {
  const unsigned Window =
      Pace.Trial.Window != 0 ? Pace.Trial.Window : Pace.Window;
  return Window == 0 ? Most : std::min(Window, Most);
}

double forgottenMs(double KnownMs, double UsualMs, duration Age) noexcept {
  const double Remembered = std::exp(
      -toSeconds(std::max(Age, duration::zero())) / toSeconds(ForgettingTime));
  return UsualMs + (KnownMs - UsualMs) * Remembered;
}

} // namespace bronzespar::proxy
