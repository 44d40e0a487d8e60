/// How much a target takes well. Servers of one service differ in speed, and
/// some slow down long before their slots are full, so that fixed weights and
/// limits do not fit. A target's connection owner learns, for each number of
/// statements under way, how long statements take, and limits itself to the
/// least number that reaches nearly the best throughput. It finds that number
/// by trials of a smaller and a larger one in turn, while it has work for them.
/// A target that is slow whatever it is sent keeps its limit: fewer statements
/// would not help it. Hosts that forward learn from answers how long statements
/// take there.
#pragma once

#include <bronzespar/instant.hpp>

#include <map>
#include <vector>

namespace bronzespar::proxy {

/// \brief Service times with a certain number of statements under way.
struct pace_level {
  /// Smoothed service time against the usual one of the same class; 0: unknown.
  double Ratio = 0;
  unsigned Samples = 0;
  instant UpdatedAt{};
};

/// \brief Usual service time of a class of statements.
struct usual_time {
  double Ms = 0;
  unsigned Samples = 0;
};

/// \brief A number of statements under way that is compared with the window.
struct pace_trial {
  unsigned Window = 0; ///< 0: no trial is under way.
  instant EndsAt{};    ///< It ends without a result then.
};

/// \brief What a target's connection owner knows of its speed.
/// Invariant: a trial is under way only while the window is known.
struct target_pace {
  std::map<int, usual_time> Usual; ///< By class of statements.
  std::vector<pace_level> Levels;  ///< By statements under way, from 1.
  unsigned Window = 0;             ///< Learnt limit; 0: not known.
  pace_trial Trial;
  instant NextTrialAt{};
  duration TrialPause = std::chrono::milliseconds(400);
  bool TriesMore = false; ///< The next trial is of a larger window.
  /// Smoothed time in milliseconds from a statement's arrival at the owner to
  /// its answer, waiting included.
  double TimeMs = 0;
};

/// \brief Records a statement that the target completed, and adjusts the window
/// while the target gets as many statements as that allows.
/// \param Class Statements of one class take about the same time.
/// \param UnderWay Statements at the target when it was sent, itself included.
/// \param Most Largest window.
void recordService(target_pace &Pace, int Class, unsigned UnderWay,
                   double ServiceMs, unsigned Most, instant Now);

/// \brief Records how long a statement took at the owner altogether.
void recordTime(target_pace &Pace, double TimeMs) noexcept;

/// \brief Number of statements to have under way at the target.
/// \param Most Returned while nothing shows that fewer are better.
[[nodiscard]] unsigned windowOf(const target_pace &Pace,
                                unsigned Most) noexcept;

/// \brief Expected time of a target to which nothing was sent for a while. It
/// returns to Usual, so that a target that was slow is tried again.
[[nodiscard]] double forgottenMs(double KnownMs, double UsualMs,
                                 duration Age) noexcept;

} // namespace bronzespar::proxy
