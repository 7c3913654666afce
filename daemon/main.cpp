#include "daemon/Version.h"

#include <cstdio>

int main()
{
    std::printf("citronplankd %s\n", citronplank::versionText());
    return 0;
}
