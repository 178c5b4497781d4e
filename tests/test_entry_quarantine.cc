// Entry core: requests that crash endpoints.
#include "tests/entry_rig.h"

struct EntryQuarantine : EntryRig {
	void start_with_two_agents()
	{
		start_core();
		bring_up(AGENT_A);
		bring_up(AGENT_B);
	}

	pf_work work_fp(uint64_t fp)
	{
		pf_work w = work();

		w.fingerprint = fp;
		return w;
	}

	void receive_quarantine(uint64_t fp, pf_ms until)
	{
		pf_entry_msg m = msg(PF_ENTRY_QUARANTINE);

		m.u.quarantine.fingerprint = fp;
		m.u.quarantine.until = until;
		step(m);
	}

	// The endpoint of `agent` crashes with the tries `running`, then is
	// ready again.
	std::vector<Act> crash(uint64_t agent, const std::vector<Act> &running)
	{
		std::vector<Act> out;

		for (const Act &t : running) {
			lost(t, PF_REASON_CRASHED);
			out.insert(out.end(), acts.begin(), acts.end());
		}
		now += 3000;
		report(agent, { { MODEL, PF_ITEM_RESIDENT } });
		out.insert(out.end(), acts.begin(), acts.end());
		return out;
	}
};

TEST_F(EntryQuarantine, SecondCrashEndsTheRequestAndItsDuplicates)
{
	start_with_two_agents();
	Act t = arrive_and_get_try(1, work_fp(5));
	lost(t, PF_REASON_CRASHED);
	EXPECT_EQ(find_act(PF_ENTRY_SHARE_QUARANTINE).quarantine.until, 0);
	Act u = find_act(PF_ENTRY_TRY);
	EXPECT_NE(u.agent, t.agent);
	EXPECT_TRUE(u.work.flags & PF_WORK_SUSPECT);
	arrive(2, work_fp(5));
	EXPECT_EQ(acts.size(), 0u) << "the duplicate waits for the trial";
	lost(u, PF_REASON_CRASHED);
	ASSERT_EQ(count_acts(PF_ENTRY_END), 2u);
	EXPECT_EQ(find_act(PF_ENTRY_END, 0).end.reason, PF_REASON_QUARANTINED);
	EXPECT_EQ(find_act(PF_ENTRY_END, 0).end.ran, PF_RAN);
	EXPECT_EQ(find_act(PF_ENTRY_END, 1).end.ran, PF_NOT_RUN);
	EXPECT_EQ(find_act(PF_ENTRY_SHARE_QUARANTINE).quarantine.until,
		  now + opts.quarantine_keep);
	arrive(3, work_fp(5));
	expect_end(3, PF_REASON_QUARANTINED, PF_NOT_RUN);
	EXPECT_GT(find_act(PF_ENTRY_END).end.retry_after, 0);
	now += opts.quarantine_keep;
	bring_up(AGENT_A);
	report(AGENT_A, { { MODEL, PF_ITEM_RESIDENT } });
	EXPECT_EQ(arrive_and_get_try(4, work_fp(5)).work.flags &
			  PF_WORK_SUSPECT,
		  0u);
}

TEST_F(EntryQuarantine, CrashOfATryThatDidNotRunAloneIsNotCounted)
{
	start_with_two_agents();
	Act t = arrive_and_get_try(1, work_fp(5));
	now++;
	Act u = arrive_and_get_try(2, work_fp(5));
	ASSERT_NE(u.agent, t.agent);
	now++;
	lost(t, PF_REASON_CRASHED);
	EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
	now++;
	lost(u, PF_REASON_CRASHED);
	EXPECT_EQ(count_acts(PF_ENTRY_END), 0u) << "it did not run alone";
	now += 3000;
	report(AGENT_A, { { MODEL, PF_ITEM_RESIDENT } });
	Act alone = find_act(PF_ENTRY_TRY);
	EXPECT_TRUE(alone.work.flags & PF_WORK_SUSPECT);
	lost(alone, PF_REASON_CRASHED);
	EXPECT_EQ(count_acts(PF_ENTRY_END), 2u);
	EXPECT_EQ(find_act(PF_ENTRY_END).end.reason, PF_REASON_QUARANTINED);
}

TEST_F(EntryQuarantine, SuspectsGoOnTrialOneByOneAndComplete)
{
	std::vector<Act> running, now_at;

	opts.agents_max = 1;
	start_core();
	bring_up(AGENT_A);
	for (uint64_t id = 1; id <= 4; id++) {
		running.push_back(arrive_and_get_try(id, work_fp(id)));
		send_id(PF_ENTRY_STARTED, running.back());
		now++;
	}
	std::vector<Act> out = crash(AGENT_A, running);
	uint64_t expected = 4; // the last to start is the likeliest cause
	for (int n_done = 0; n_done < 4; n_done++) {
		std::vector<Act> tries;
		for (const Act &a : out) {
			EXPECT_NE(a.type, PF_ENTRY_END);
			if (a.type == PF_ENTRY_TRY)
				tries.push_back(a);
		}
		ASSERT_EQ(tries.size(), 1u);
		EXPECT_EQ(tries[0].id.request, expected--);
		done(tries[0], 0);
		EXPECT_EQ(find_act(PF_ENTRY_END).end.reason, PF_REASON_NONE);
		out.clear();
		for (const Act &a : acts) {
			if (a.type != PF_ENTRY_END)
				out.push_back(a);
		}
	}
	EXPECT_EQ(arrive_and_get_try(9, work_fp(1)).work.flags &
			  PF_WORK_SUSPECT,
		  0u)
		<< "cleared by completing";
}

TEST_F(EntryQuarantine, TrialProgressStartsTheNextTrial)
{
	start_with_two_agents();
	Act t = arrive_and_get_try(1, work_fp(1)),
	    u = arrive_and_get_try(2, work_fp(2));
	lost(t, PF_REASON_CRASHED);
	Act v = find_act(PF_ENTRY_TRY);
	lost(u, PF_REASON_CRASHED);
	EXPECT_EQ(count_acts(PF_ENTRY_TRY), 0u);
	piece(v, 0, 15);
	EXPECT_EQ(count_acts(PF_ENTRY_TRY), 0u);
	piece(v, 15, 1);
	run_timers(200);
	report(v.agent, { { MODEL, PF_ITEM_RESIDENT } });
	report(t.agent, { { MODEL, PF_ITEM_RESIDENT } });
	size_t second = 0;
	for (const Act &a : all_acts)
		second += a.type == PF_ENTRY_TRY && a.id.request == 2;
	EXPECT_EQ(second, 2u);
}

TEST_F(EntryQuarantine, DuplicateAndLateCrashMessagesCountOnce)
{
	start_with_two_agents();
	Act t = arrive_and_get_try(1, work_fp(5));
	lost(t, PF_REASON_CRASHED);
	now += 5000;
	bring_up(AGENT_A);
	lost(t, PF_REASON_CRASHED);
	EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
	pf_entry_msg m = msg(PF_ENTRY_CALLER_GONE);
	m.u.request = 1;
	step(m);
	Act second = t;
	second.id.attempt = 2;
	second.agent = AGENT_B;
	lost(second, PF_REASON_CRASHED);
	EXPECT_EQ(count_acts(PF_ENTRY_SHARE_QUARANTINE), 1u)
		<< "a crash after the request ended counts";
	arrive(2, work_fp(5));
	expect_end(2, PF_REASON_QUARANTINED, PF_NOT_RUN);
}

TEST_F(EntryQuarantine, CrashOfATrialAfterItsRequestEndedCounts)
{
	start_with_two_agents();
	receive_quarantine(5, 0);
	Act t = arrive_and_get_try(1, work_fp(5));
	ASSERT_TRUE(t.work.flags & PF_WORK_SUSPECT);
	send_id(PF_ENTRY_STARTED, t);
	run_timers(t.work.deadline - now);
	expect_end(1, PF_REASON_EXPIRED, PF_RAN);
	lost(t, PF_REASON_CRASHED);
	EXPECT_EQ(find_act(PF_ENTRY_SHARE_QUARANTINE).quarantine.until,
		  now + opts.quarantine_keep);
	arrive(2, work_fp(5));
	expect_end(2, PF_REASON_QUARANTINED, PF_NOT_RUN);
}

TEST_F(EntryQuarantine, LateCrashesOfTriesBesideOthersMakeASuspectOnly)
{
	start_with_two_agents();
	Act t = arrive_and_get_try(1, work_fp(5));
	now++;
	piece(t, 7, 1); // a gap: replaced
	Act u = find_act(PF_ENTRY_TRY);
	ASSERT_NE(u.agent, t.agent);
	now++;
	lost(t, PF_REASON_CRASHED);
	EXPECT_EQ(find_act(PF_ENTRY_SHARE_QUARANTINE).quarantine.until, 0);
	now++;
	piece(u, 7, 1);
	EXPECT_EQ(count_acts(PF_ENTRY_CANCEL), 1u);
	lost(u, PF_REASON_CRASHED);
	EXPECT_EQ(count_acts(PF_ENTRY_END), 0u);
	EXPECT_EQ(stats().quarantined, 0u);
}

TEST_F(EntryQuarantine, ShareNamesCallerAndTheLastEndpoints)
{
	std::vector<uint64_t> crashed;

	opts.crashes_max = 7;
	start_with_two_agents();
	Act t = arrive_and_get_try(1, work_fp(5));
	for (uint32_t crashes = 1; crashes <= 6; crashes++) {
		lost(t, PF_REASON_CRASHED);
		crashed.push_back(t.agent);
		if (crashed.size() > PF_CRASHED_ENDPOINTS_MAX)
			crashed.erase(crashed.begin());
		Act s = find_act(PF_ENTRY_SHARE_QUARANTINE);
		EXPECT_EQ(s.quarantine.caller, CALLER);
		EXPECT_EQ(s.quarantine.crashes, crashes);
		EXPECT_EQ(
			std::vector<uint64_t>(s.quarantine.endpoints,
					      s.quarantine.endpoints +
						      s.quarantine.n_endpoints),
			crashed);
		std::vector<Act> out = acts;
		now += 3000;
		for (uint64_t agent : { AGENT_A, AGENT_B }) {
			report(agent, { { MODEL, PF_ITEM_RESIDENT } });
			out.insert(out.end(), acts.begin(), acts.end());
		}
		acts = out;
		t = find_act(PF_ENTRY_TRY);
	}
}

TEST_F(EntryQuarantine, SharedQuarantinesApplyAndTheTableIsBounded)
{
	opts.quarantine_max = 3;
	start_with_two_agents();
	receive_quarantine(1, 0);
	EXPECT_TRUE(arrive_and_get_try(1, work_fp(1)).work.flags &
		    PF_WORK_SUSPECT);
	receive_quarantine(2, now + 5000);
	arrive(2, work_fp(2));
	expect_end(2, PF_REASON_QUARANTINED, PF_NOT_RUN);
	receive_quarantine(3, 0);
	for (uint64_t fp = 10; fp < 20; fp++)
		receive_quarantine(fp, 0);
	arrive(3, work_fp(2));
	expect_end(3, PF_REASON_QUARANTINED, PF_NOT_RUN);
	EXPECT_EQ(count_acts(PF_ENTRY_END), 1u) << "suspects are evicted first";
	EXPECT_EQ(arrive_and_get_try(4, work_fp(3)).work.flags &
			  PF_WORK_SUSPECT,
		  0u);
}

// A request that crashes every endpoint is sent 20 times, through three entries
// in turn, which share their quarantines.
TEST(EntryPoison, TwentyResendsThroughAllEntriesLoseTwoEndpoints)
{
	struct Rig : EntryQuarantine {
		void TestBody() override
		{
		}
	} rigs[3];
	int crashes = 0, harmless_done = 0;

	for (Rig &r : rigs)
		r.start_with_two_agents();
	for (uint64_t i = 0; i < 20; i++) {
		Rig &r = rigs[i % 3];
		r.arrive(2 * i + 1, r.work_fp(100 + i));
		Act harmless = r.find_act(PF_ENTRY_TRY);
		r.arrive(2 * i + 2, r.work_fp(5));
		while (r.count_acts(PF_ENTRY_TRY)) {
			Act t = r.find_act(PF_ENTRY_TRY);
			crashes++;
			r.lost(t, PF_REASON_CRASHED);
			std::vector<Act> out = r.acts;
			for (const Act &a : out) {
				for (Rig &o : rigs) {
					if (&o != &r &&
					    a.type == PF_ENTRY_SHARE_QUARANTINE)
						o.receive_quarantine(
							a.quarantine
								.fingerprint,
							a.quarantine.until);
				}
			}
			// The caller gives up and resends it to the next entry.
			if (crashes == 1) {
				pf_entry_msg m = r.msg(PF_ENTRY_CALLER_GONE);
				m.u.request = 2 * i + 2;
				r.step(m);
				break;
			}
			r.acts = out;
		}
		r.done(harmless, 0);
		harmless_done += r.count_acts(PF_ENTRY_END);
		for (Rig &o : rigs) {
			o.now += 3000;
			o.bring_up(AGENT_A);
			o.bring_up(AGENT_B);
		}
	}
	EXPECT_EQ(crashes, 2);
	EXPECT_EQ(harmless_done, 20);
}
