/// \file
/// Base64 encoding, for test doubles of the configuration service.
#ifndef THYMEWALL_TEST_BASE64_H
#define THYMEWALL_TEST_BASE64_H

#include <sodium.h>
#include <string>

namespace thymewall::test {

/// Returns standard base64 with padding.
inline std::string base64(const std::string &Text) {
  std::string Result(
      sodium_base64_encoded_len(Text.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(Result.data(), Result.size(),
                    reinterpret_cast<const unsigned char *>(Text.data()),
                    Text.size(), sodium_base64_VARIANT_ORIGINAL);
  Result.pop_back(); // the terminating null character
  return Result;
}

} // namespace thymewall::test

#endif
