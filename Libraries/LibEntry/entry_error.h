// Errors of an entry process.
#pragma once

#include <string>

namespace mustardbank {

// The entry process could not start.
struct StartError {
  std::string reason;
};

}  // namespace mustardbank
