# Test fixture and fakes for the tests of packages/proxy. The fake agent is
# linked before the real one, so that its symbols take precedence.
set(dir ${CMAKE_SOURCE_DIR}/packages/proxy)
target_include_directories(ggs_proxy PUBLIC ${CMAKE_SOURCE_DIR}/packages/agent)
add_library(ggs_proxy_fakes STATIC ${dir}/tests/fake_agent.c
    ${dir}/tests/fake_backend.c ${dir}/tests/proxy_fixture.c)
target_include_directories(ggs_proxy_fakes PUBLIC ${dir}/tests)
target_link_libraries(ggs_proxy_fakes PUBLIC ggs_proxy)
file(GLOB proxy_tests CONFIGURE_DEPENDS ${dir}/tests/test_*.c)
foreach(t ${proxy_tests})
	get_filename_component(stem ${t} NAME_WE)
	target_link_libraries(proxy_${stem} ggs_proxy_fakes)
endforeach()
