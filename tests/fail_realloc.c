/*
 * Preloaded into a daemon under test: realloc() fails for sizes from
 * PF_FAIL_REALLOC_MIN on, as when memory runs out.
 */
#include <errno.h>
#include <stddef.h>
#include <stdlib.h>

void *__libc_realloc(void *p, size_t n);
void *realloc(void *p, size_t n);

void *realloc(void *p, size_t n)
{
	const char *min = getenv("PF_FAIL_REALLOC_MIN");

	if (min && n >= strtoul(min, NULL, 10)) {
		errno = ENOMEM;
		return NULL;
	}
	return __libc_realloc(p, n);
}
