# Helpers that declare one library per source folder and one test program per test folder.

# gh_library(NAME SOURCES ... LINKS ...) declares the library gh_NAME of the folder src/NAME.
function(gh_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINKS" ${ARGN})
  add_library(gh_${name} STATIC ${arg_SOURCES})
  target_include_directories(gh_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(gh_${name} PUBLIC ${arg_LINKS})
endfunction()

# gh_test(NAME SOURCES ... LINKS ...) declares the test program NAME_test, run by ctest. Every run
# uses the same RapidCheck seed, so that CI gives the same verdict each time.
function(gh_test name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name}_test ${PROJECT_SOURCE_DIR}/tests/test_main.cpp ${arg_SOURCES})
  target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${name}_test PRIVATE ${arg_LINKS} rapidcheck)
  # Tests tagged [known-red] are listed in KNOWN-RED.txt and run by scripts/run-known-red.
  add_test(NAME ${name} COMMAND ${name}_test "~[known-red]")
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
endfunction()
