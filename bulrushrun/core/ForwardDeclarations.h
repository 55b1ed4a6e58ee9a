#pragma once

/// \file
/// \brief Forward declarations of the core module.

namespace bulrushrun {

class Findings;
class Random;
class TimerQueue;

template<class Tag>
class StrongName;
template<class Tag>
class StrongNumber;

} // namespace bulrushrun
