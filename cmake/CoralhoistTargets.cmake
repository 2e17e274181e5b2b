# Helpers that give every target of the project the same warnings and include paths.

set(CORALHOIST_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wno-sign-conversion -Werror)

# coralhoist_library(name LINK libraries...): a static library from all *.cpp files of the calling folder.
function(coralhoist_library name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  file(GLOB headers CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.h)
  if(sources)
    add_library(${name} STATIC ${sources} ${headers})
    target_compile_options(${name} PRIVATE ${CORALHOIST_WARNINGS})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
    target_link_libraries(${name} PUBLIC ${ARG_LINK})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
    target_link_libraries(${name} INTERFACE ${ARG_LINK})
  endif()
endfunction()

# coralhoist_program(name MAIN file LINK libraries...): an executable under build/bin.
function(coralhoist_program name)
  cmake_parse_arguments(ARG "" "" "MAIN;LINK" ${ARGN})
  add_executable(${name} ${ARG_MAIN})
  target_compile_options(${name} PRIVATE ${CORALHOIST_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_LINK})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# coralhoist_test(name LINK libraries...): a CppUTest executable from all *.cpp files of the calling folder.
function(coralhoist_test name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_executable(${name} ${sources} ${PROJECT_SOURCE_DIR}/tests/TestMain.cpp)
    target_compile_options(${name} PRIVATE ${CORALHOIST_WARNINGS})
    # CppUTest's leak detector redefines `new`, which the standard headers of this compiler do not bear;
    # the sanitizer build finds leaks instead.
    target_compile_definitions(${name} PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
    target_link_libraries(${name} PRIVATE ${ARG_LINK} PkgConfig::CPPUTEST)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  endif()
endfunction()
