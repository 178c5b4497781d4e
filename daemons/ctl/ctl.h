/* pimentoctl: what its modules share. */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include "pimentoford/records.h"
#include "pimentoford/text.h"

#include <jansson.h>

enum exit_code {
	EXIT_OK = 0,
	EXIT_REFUSED = 1, /* refused or in conflict; not applied */
	EXIT_INVALID = 2, /* usage, or findings in the files */
	EXIT_UNKNOWN = 3, /* unreachable, or the outcome is unknown */
};

struct ctl {
	char **entries; /* IP:PORT, tried in order; NULL at the end */
	char *key; /* the deployment's key */
	char *change_id; /* of the change; owned */
	char *who;
	int64_t base_revision; /* revision the change is based on; -1: none */
	int audit_limit; /* audit rows */
	bool json;
	bool id_given; /* perhaps a resend */
	int timeout_s; /* for one entry's answer */
};

struct reply {
	int status; /* HTTP; 0: no answer */
	struct pf_text body;
};

/**
 * Sends one request to the entry at @addr and waits. @body may be NULL. The
 * caller frees r->body.
 */
void ctl_request(const struct ctl *c, const char *addr, const char *method,
		 const char *target, const char *body, struct reply *r);

/** GET from the first entry that answers. 0, or -1 when none does. */
int ctl_get(const struct ctl *c, const char *target, struct reply *r);

/* commands.c, changes.c; each returns an exit code */
int cmd_apply(struct ctl *c, char **args);
int cmd_delete(struct ctl *c, char **args);
int cmd_drain(struct ctl *c, char **args);
int cmd_get(struct ctl *c, char **args);
int cmd_list(struct ctl *c, char **args);
int cmd_diff(struct ctl *c, char **args);
int cmd_audit(struct ctl *c, char **args);
int cmd_status(struct ctl *c, char **args);

/** Reads record files into one set, printing findings. 0 or -1. */
int read_record_files(char **paths, struct pf_records *set);

/** Prints @j as one line and frees it. */
void print_json(json_t *j);

/** The message of an answer that is an error, on stderr; the exit code. */
int print_error_reply(const struct reply *r);

#endif
