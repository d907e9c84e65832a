find_package(Boost 1.81 REQUIRED COMPONENTS json)
find_package(CapnProto REQUIRED)
find_package(CLI11 REQUIRED)
find_package(Threads REQUIRED)
find_package(ZLIB REQUIRED)

# Disables the deprecated interfaces of Asio. All targets share these options, so
# that every translation unit sees the same Boost.
add_library(egretpath_options INTERFACE)
target_include_directories(egretpath_options INTERFACE ${PROJECT_SOURCE_DIR}/src)
target_compile_options(egretpath_options INTERFACE -Wall -Wextra -Wpedantic)
target_compile_definitions(egretpath_options INTERFACE BOOST_ASIO_NO_DEPRECATED)
target_link_libraries(egretpath_options INTERFACE Threads::Threads)

# egretpath_library(<name> SOURCES ... [LINKS ...] [NEEDS ...])
# Adds a library. LINKS names other libraries of the project, NEEDS external ones.
function(egretpath_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS;NEEDS" ${ARGN})
    list(TRANSFORM ARG_LINKS PREPEND egretpath_)
    add_library(egretpath_${name} STATIC ${ARG_SOURCES})
    target_link_libraries(egretpath_${name} PUBLIC egretpath_options ${ARG_LINKS} ${ARG_NEEDS})
endfunction()

# egretpath_program(<name> SOURCES ... [LINKS ...] [NEEDS ...])
# Adds a program that is built in the folder bin of the build tree.
function(egretpath_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS;NEEDS" ${ARGN})
    list(TRANSFORM ARG_LINKS PREPEND egretpath_)
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE egretpath_options ${ARG_LINKS} ${ARG_NEEDS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# egretpath_known_red(<library> <variable>)
# Sets <variable> to test arguments that exclude the test cases of <library> listed in KNOWN-RED.txt, and no others.
# Disables a listed test that add_test() has registered in the same folder before, such as a script.
# Prints each excluded test case and each disabled test.
function(egretpath_known_red library variable)
    set(list_file ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
    set(arguments "")
    if(EXISTS ${list_file})
        set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${list_file})
        file(STRINGS ${list_file} entries REGEX "^${library} [|] ")
        foreach(entry IN LISTS entries)
            string(REGEX REPLACE "^${library} [|] ([^|]*[^| ]) [|].*$" "\\1" test_case "${entry}")
            message(WARNING "known red, not run: ${entry}")
            if(TEST "${test_case}")
                set_tests_properties("${test_case}" PROPERTIES DISABLED TRUE)
                continue()
            endif()
            # Catch2 treats a comma as the end of a test name.
            string(REPLACE "," "\\," test_case "${test_case}")
            list(APPEND arguments "~${test_case}")
        endforeach()
    endif()
    set(${variable} "${arguments}" PARENT_SCOPE)
endfunction()

# egretpath_test(<library> SOURCES ... [LINKS ...] [NEEDS ...])
# Adds the test program of <library> and registers it as a test. There is one test program for each library.
function(egretpath_test library)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS;NEEDS" ${ARGN})
    list(TRANSFORM ARG_LINKS PREPEND egretpath_)
    add_executable(${library}-test ${ARG_SOURCES})
    target_link_libraries(${library}-test PRIVATE egretpath_test_main egretpath_${library} ${ARG_LINKS} ${ARG_NEEDS})
    egretpath_known_red(${library} known_red)
    add_test(NAME ${library} COMMAND ${library}-test ${known_red})
    set_tests_properties(${library} PROPERTIES TIMEOUT 120)
endfunction()
