#include "tool/Tool.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
    return citronplank::runTool(
        argc, argv, [](const char* name) { return std::getenv(name); }, std::cout, std::cerr);
}
